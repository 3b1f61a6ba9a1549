#include "coordination/scheduling/gang_tracker.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// A task that fails is tried once more elsewhere under the same attempt of its replica.
constexpr int most_errors_an_attempt = 1;
}  // namespace

void GangTracker::forget_job(const std::string& job) {
  auto it = hints_.lower_bound({job, 0});
  while (it != hints_.end() && it->first.first == job) it = hints_.erase(it);
}

GangTracker::Hints& GangTracker::hints(const Job& job, TaskRange gang) {
  auto& hints = hints_[{job.spec.id, gang.first}];
  if (const uint64_t attempt = live_attempt(job, gang); hints.attempt != attempt) {
    hints = {};
    hints.attempt = attempt;
    // Begun by an earlier holder, under whom it may have been ready: no part of that attempt is
    // started any more, so that a replica is never ready again under an attempt that lost a part.
    hints.ran = job.spec.replicated() && attempt != 0;
  }
  return hints;
}

void GangTracker::note_attempt_started(const Job& job, TaskRange gang, uint64_t attempt) {
  auto& hints = hints_[{job.spec.id, gang.first}];
  if (hints.attempt == attempt) return;
  hints = {};
  hints.attempt = attempt;
}

void GangTracker::note_running(const Job& job, TaskRange gang, uint64_t attempt) {
  if (auto& known = hints(job, gang); known.attempt == attempt) known.ran = true;
}

void GangTracker::note_exit(const Job& job, TaskRange gang, uint64_t attempt, ExitCause cause,
                            bool stopped) {
  auto& known = hints(job, gang);
  if (known.attempt != attempt) return;
  known.errors += cause == ExitCause::error;
  known.broken |= known.ran || stopped || cause == ExitCause::peers || cause == ExitCause::alone;
  known.broken |= job.spec.replicated() && known.errors > most_errors_an_attempt;
}

void GangTracker::note_task_missing(const Job& job, TaskRange gang, uint64_t attempt) {
  auto& known = hints(job, gang);
  if (known.attempt == attempt) known.broken |= known.ran;
}

GangStatus GangTracker::standing(const Job& job, TaskRange gang) {
  auto& known = hints(job, gang);
  const TaskRangeSummary record = job.summarize(gang);
  GangStatus standing;
  standing.tasks = gang.count;
  standing.live = record.live;
  standing.done = record.done;
  standing.ran = known.ran;
  standing.broken = known.broken || record.has_mixed_attempts;
  for (auto& task : job.live_tasks(gang)) standing.stopping |= facts_.is_stopping(task);
  const bool incomplete = standing.live > 0 && standing.live < standing.tasks;
  if (!incomplete) {
    known.incomplete_since = 0;
  } else if (known.incomplete_since == 0) {
    known.incomplete_since = loop_.now();
  }
  standing.incomplete_s = incomplete ? loop_.now() - known.incomplete_since : 0;
  return standing;
}

GangAction GangTracker::next_action(const Job& job, TaskRange gang) {
  return action_for(job, gang, standing(job, gang));
}

GangAction GangTracker::action_for(const Job& job, TaskRange gang,
                                   const GangStatus& standing) const {
  // Within the time for which a machine that failed a task of it is not used for it again.
  const double patience_s =
      std::min(settings_.gang_wait_s * settings_.tuning.gang_replacement_share, settings_.lease_s);
  const auto action = gang_action(standing, patience_s);
  if (action != GangAction::complete) return action;
  // Whether it runs already is not known before all its machines were heard.
  const auto live = job.live_tasks(gang);
  const bool all_heard = std::all_of(live.begin(), live.end(), [&](const PlacedTask& task) {
    const Machine* machine = facts_.find_machine(task.machine);
    return machine && machine->agent_epoch != 0;
  });
  return all_heard ? GangAction::complete : GangAction::none;
}

uint32_t GangTracker::startable(const Job& job, TaskRange gang) {
  const GangStatus now = standing(job, gang);
  const auto action = action_for(job, gang, now);
  if (action != GangAction::start && action != GangAction::complete) return 0;
  return now.tasks - now.live - now.done;
}

}  // namespace damsonport
