// The holder's care for gangs: what one task's exit means for the others, and stops as a whole.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/holder.hpp"

namespace damsonport {

Holder::GangHints& Holder::gang_hints(const Job& gang) {
  auto& hints = hints_[gang.spec.id].gang;
  if (const uint64_t attempt = live_attempt(gang); hints.attempt != attempt)
    hints = {.attempt = attempt};
  return hints;
}

GangStanding Holder::gang_standing(const Job& gang) {
  auto& hints = gang_hints(gang);
  GangStanding standing;
  standing.tasks = gang.spec.tasks;
  standing.live = static_cast<uint32_t>(gang.live);
  standing.done = static_cast<uint32_t>(gang.done);
  standing.ran = hints.ran;
  standing.broken = hints.broken;
  for (auto& task : gang.live_tasks()) {
    auto stop = stopping_.find(task.name);
    standing.stopping |= stop != stopping_.end() && stop->second.attempt == task.attempt;
  }
  const bool incomplete = standing.live > 0 && standing.live < standing.tasks;
  if (!incomplete) {
    hints.incomplete_since = 0;
  } else if (hints.incomplete_since == 0) {
    hints.incomplete_since = loop_.now();
  }
  standing.incomplete_s = incomplete ? loop_.now() - hints.incomplete_since : 0;
  return standing;
}

GangAction Holder::next_gang_action(const Job& gang) {
  // Within the time for which a machine that failed a task of it is not used for it again.
  const double patience_s =
      std::min(settings_.gang_wait_s * tuning_.gang_replacement_share, settings_.lease_s);
  const auto action = gang_action(gang_standing(gang), patience_s);
  if (action != GangAction::complete) return action;
  // Whether it runs already is not known before all its machines were heard.
  const auto live = gang.live_tasks();
  const bool all_heard = std::all_of(live.begin(), live.end(), [&](const PlacedTask& task) {
    auto m = machines_.find(task.machine);
    return m != machines_.end() && m->second.session != 0;
  });
  return all_heard ? GangAction::complete : GangAction::none;
}

uint32_t Holder::startable_gang_tasks(const Job& gang) {
  // An older controller that takes over would go on with it task by task.
  if (!p_.versions.all_have(VersionRegistry::gangs)) return 0;
  const auto action = next_gang_action(gang);
  const bool startable = action == GangAction::start || action == GangAction::complete;
  return startable ? static_cast<uint32_t>(gang.unstarted()) : 0;
}

void Holder::review_gang(const Job& gang) {
  if (is_cancelled(gang) || next_gang_action(gang) != GangAction::give_up) return;
  for (auto& task : gang.live_tasks()) {
    auto stop = stopping_.find(task.name);
    // One that was told to save goes on with it.
    if (stop != stopping_.end() && stop->second.attempt == task.attempt) continue;
    if (exits_.contains(task.name)) continue;
    spdlog::info("stopping {} attempt {} on {}: its gang is not whole", task.name.text(),
                 task.attempt, task.machine);
    stop_task(task, 0);
  }
}

void Holder::review_gangs() {
  for (auto& [id, job] : cache_.jobs()) {
    if (job->spec.kind != Kind::gang || job->live == 0) continue;
    review_gang(*job);
    if (job->unstarted() > 0) dirty_jobs_.insert(job.get());
  }
}

// The tasks of a gang complete together: when one is done, all of its attempt are, whether or not
// their own reports arrive any more.
void Holder::finish_gang(const Job& gang, uint64_t attempt) {
  for (auto& task : gang.live_tasks())
    if (task.attempt == attempt && !exits_.contains(task.name)) {
      exits_[task.name] = {attempt, ExitCause::done, task.machine};
      mark_changed(task.machine);
    }
}

void Holder::note_exit(const TaskName& task, PendingExit exit) {
  mark_changed(exit.machine);
  Job* job = cache_.job(task.job);
  if (!job || job->spec.kind != Kind::gang) {
    exits_[task] = std::move(exit);
    return;
  }
  // Its machine was lost before it could say so.
  if (job->done > 0) exit.cause = ExitCause::done;
  const auto [attempt, cause, machine] = exit;
  exits_[task] = std::move(exit);
  if (cause == ExitCause::done) return finish_gang(*job, attempt);
  auto& hints = gang_hints(*job);
  if (hints.attempt != attempt) return;
  const bool stopped = cause == ExitCause::stopped && stopping_.contains(task);
  hints.broken |= hints.ran || stopped || cause == ExitCause::peers || cause == ExitCause::alone;
  review_gang(*job);
}

void Holder::stop_gang(const Job& gang, double grace_s) {
  for (auto& task : gang.live_tasks()) stop_task(task, grace_s);
}

void Holder::stop_task(const PlacedTask& task, double grace_s) {
  if (returned_.contains(task.machine)) return;  // gone with its machine
  stopping_[task.name] = {task.attempt, grace_s};
  Machine& m = machine(task.machine);
  mark_changed(m.id);
  auto reported = m.tasks.find(task.name);
  // One that is not reported yet is stopped by the next report.
  if (reported != m.tasks.end() && reported->second.attempt == task.attempt)
    order(m, {Command::Op::stop, task.name, task.attempt, grace_s});
}

}  // namespace damsonport
