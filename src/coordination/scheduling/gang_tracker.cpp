#include "coordination/scheduling/gang_tracker.hpp"

#include <algorithm>

namespace damsonport {

namespace {

// A part that fails is started once more, on another machine, under the same attempt of its
// replica.
constexpr int max_failures_per_attempt = 1;

}  // namespace

void GangTracker::forget_job(const std::string& job) {
  auto it = attempts_.lower_bound({job, 0});
  while (it != attempts_.end() && it->first.first == job) it = attempts_.erase(it);
}

GangTracker::AttemptState& GangTracker::attempt_state(const Job& job, TaskRange gang) {
  AttemptState& state = attempts_[{job.spec.id, gang.first}];
  const uint64_t attempt = live_attempt(job, gang);
  if (state.attempt == attempt) return state;
  state = {};
  state.attempt = attempt;
  // An earlier leader started this attempt, and the replica may have been ready under that leader.
  // No more parts of such an attempt are started, because an attempt must not become ready again
  // after the loss of a part.
  state.has_run = job.spec.replicated() && attempt != 0;
  return state;
}

void GangTracker::note_attempt_started(const Job& job, TaskRange gang, uint64_t attempt) {
  AttemptState& state = attempts_[{job.spec.id, gang.first}];
  if (state.attempt == attempt) return;
  state = {};
  state.attempt = attempt;
}

void GangTracker::note_running(const Job& job, TaskRange gang, uint64_t attempt) {
  AttemptState& state = attempt_state(job, gang);
  if (state.attempt == attempt) state.has_run = true;
}

void GangTracker::note_exit(const Job& job, TaskRange gang, const GangTaskExit& exit) {
  AttemptState& state = attempt_state(job, gang);
  if (state.attempt != exit.attempt) return;
  state.ended_on.insert(exit.machine);
  if (exit.cause == ExitCause::error) ++state.failures;
  const bool stopped_by_gang =
      exit.cause == ExitCause::gang_member_lost || exit.cause == ExitCause::gang_incomplete;
  const bool too_many_failures = job.spec.replicated() && state.failures > max_failures_per_attempt;
  if (state.has_run || exit.stopped || stopped_by_gang || too_many_failures) state.broken = true;
}

void GangTracker::note_ended_on(const Job& job, TaskRange gang, uint64_t attempt,
                                const std::string& machine) {
  AttemptState& state = attempt_state(job, gang);
  if (state.attempt == attempt) state.ended_on.insert(machine);
}

bool GangTracker::may_place(const Job& job, TaskRange gang, uint64_t attempt,
                            const std::string& machine) {
  const AttemptState& state = attempt_state(job, gang);
  return state.attempt != attempt || !state.ended_on.contains(machine);
}

void GangTracker::note_not_replaceable(const Job& job, TaskRange gang, uint64_t attempt) {
  AttemptState& state = attempt_state(job, gang);
  if (state.attempt == attempt) state.broken = true;
}

void GangTracker::note_task_missing(const Job& job, TaskRange gang, uint64_t attempt) {
  AttemptState& state = attempt_state(job, gang);
  if (state.attempt == attempt && state.has_run) state.broken = true;
}

GangStatus GangTracker::status(const Job& job, TaskRange gang) {
  AttemptState& state = attempt_state(job, gang);
  const TaskRangeSummary record = job.summarize(gang);
  const std::vector<PlacedTask> live_tasks = job.live_tasks(gang);
  GangStatus status;
  status.tasks = gang.count;
  status.live = record.live;
  status.done = record.done;
  status.has_run = state.has_run;
  status.broken = state.broken || record.has_mixed_attempts;
  status.stopping =
      std::any_of(live_tasks.begin(), live_tasks.end(),
                  [this](const PlacedTask& task) { return task_states_.is_stopping(task); });
  const bool incomplete = status.live > 0 && status.live < status.tasks;
  status.incomplete_s = update_incomplete_s(state, incomplete);
  return status;
}

double GangTracker::update_incomplete_s(AttemptState& state, bool incomplete) const {
  if (!incomplete) {
    state.incomplete_since.reset();
    return 0;
  }
  if (!state.incomplete_since) state.incomplete_since = loop_.now();
  return loop_.now() - *state.incomplete_since;
}

GangAction GangTracker::next_action(const Job& job, TaskRange gang) {
  return action_for(job, gang, status(job, gang));
}

// Limited to lease_s, the time for which a machine on which a task of the gang failed is excluded
// from starting the task again.
double GangTracker::replacement_timeout_s() const {
  return std::min(settings_.gang_wait_s * settings_.tuning.gang_replacement_share,
                  settings_.lease_s);
}

bool GangTracker::all_machines_reported(const Job& job, TaskRange gang) const {
  const std::vector<PlacedTask> live_tasks = job.live_tasks(gang);
  return std::all_of(live_tasks.begin(), live_tasks.end(), [this](const PlacedTask& task) {
    const Machine* machine = task_states_.find_machine(task.machine);
    return machine && machine->agent_epoch != 0;
  });
}

GangAction GangTracker::action_for(const Job& job, TaskRange gang, const GangStatus& status) const {
  const GangAction action = gang_action(status, replacement_timeout_s());
  if (action != GangAction::replace_missing) return action;
  // Until all machines of the gang have sent a heartbeat, the gang may already be running.
  return all_machines_reported(job, gang) ? GangAction::replace_missing : GangAction::none;
}

uint32_t GangTracker::count_startable(const Job& job, TaskRange gang) {
  const GangStatus current = status(job, gang);
  const GangAction action = action_for(job, gang, current);
  if (action != GangAction::start && action != GangAction::replace_missing) return 0;
  return current.tasks - current.live - current.done;
}

}  // namespace damsonport
