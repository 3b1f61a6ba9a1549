// The shard leader's handling of gangs: what the exit of one task means for the others, and
// stopping a gang as a whole.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

bool ShardLeader::is_stopping(const PlacedTask& task) const {
  auto stop = stop_requests_.find(task.id);
  return stop != stop_requests_.end() && stop->second.attempt == task.attempt;
}

bool ShardLeader::has_ended(const PlacedTask& task) const {
  auto exit = exits_.find(task.id);
  return exit != exits_.end() && exit->second.attempt == task.attempt;
}

const Machine* ShardLeader::find_machine(const std::string& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

uint32_t ShardLeader::startable_gang_tasks(const Job& job, TaskRange gang) {
  // A controller of an older version that took over would continue the gang task by task.
  const bool replicated = job.spec.replicated();
  const uint64_t version = replicated ? VersionRegistry::replicas : VersionRegistry::gangs;
  if (!deps_.versions.all_have_recorded(version)) return 0;
  if (replicated && !replicas_.may_start(job, gang)) return 0;
  return gangs_.count_startable(job, gang);
}

bool ShardLeader::may_place_gang(const Job& job, const DecidedGang& gang, uint64_t attempt) {
  return std::all_of(gang.starts.begin(), gang.starts.end(), [&](const DecidedStart& start) {
    return gangs_.may_place(job, gang.tasks, attempt, start.machine);
  });
}

void ShardLeader::review_gang(const Job& job, TaskRange gang) {
  if (is_cancelled(job) || gangs_.next_action(job, gang) != GangAction::abandon) return;
  for (auto& task : job.live_tasks(gang)) {
    // A task that was stopped with a grace for saving its state may finish saving.
    if (is_stopping(task) || exits_.contains(task.id)) continue;
    spdlog::info("stopping {} attempt {} on {}: its gang is not whole", task.id.text(),
                 task.attempt, task.machine);
    stop_task(task, 0);
  }
}

void ShardLeader::review_gangs() {
  for (auto& [id, job] : cache_.jobs()) {
    if (job->live == 0) continue;
    const uint32_t count = gang_count(job->spec);
    for (uint32_t n = 0; n < count; ++n) review_gang(*job, gang_range(job->spec, n));
    if (count > 0 && job->startable_count() > 0) snapshot_builder_.mark_job_changed(*job);
  }
  if (replicas_.update_states()) scheduling_requested_ = true;
  for (auto& machine : replicas_.machines_to_probe()) commands_.start_probe(machine);
  for (auto& move : replicas_.start_moves()) stop_gang(*move.job, move.parts, 0);
}

// The tasks of a gang complete together: when one task is done, all tasks of its attempt are done,
// whether or not their machines' heartbeats still arrive.
void ShardLeader::finish_gang(const Job& gang, uint64_t attempt) {
  for (auto& task : gang.live_tasks())
    if (task.attempt == attempt && !exits_.contains(task.id)) {
      exits_[task.id] = {attempt, ExitCause::done, task.machine, std::nullopt};
      mark_machine_changed(task.machine);
    }
}

void ShardLeader::note_exit(const TaskId& task, PendingExit exit) {
  mark_machine_changed(exit.machine);
  Job* job = cache_.job(task.job);
  if (!job || job->spec.gang_size() == 0) {
    exits_[task] = std::move(exit);
    return;
  }
  const bool is_gang = job->spec.kind == JobKind::gang;
  // Another task of the gang is done, so this one was done too; its machine was lost before its
  // heartbeat could show it.
  if (is_gang && job->done > 0) exit.cause = ExitCause::done;
  exits_[task] = exit;
  if (is_gang && exit.cause == ExitCause::done) return finish_gang(*job, exit.attempt);
  const TaskRange gang = gang_containing(job->spec, task.index);
  const bool stopped = exit.cause == ExitCause::stopped && stop_requests_.contains(task);
  gangs_.note_exit(*job, gang, {exit.attempt, exit.cause, stopped, exit.machine});
  replicas_.note_exit(*job, gang, exit.attempt, exit.cause);
  review_gang(*job, gang);
}

void ShardLeader::stop_gang(const Job& job, TaskRange gang, double grace_s) {
  for (auto& task : job.live_tasks(gang)) stop_task(task, grace_s);
}

void ShardLeader::stop_task(const PlacedTask& task, double grace_s) {
  if (scale_in_.tracker().is_returned(task.machine)) return;  // ended with its machine
  stop_requests_[task.id] = {task.attempt, grace_s};
  Machine& m = machine(task.machine);
  mark_machine_changed(m.id);
  auto reported = m.tasks.find(task.id);
  // A task that the machine has not reported yet is stopped in the response to the heartbeat that
  // reports it.
  if (reported != m.tasks.end() && reported->second.attempt == task.attempt)
    commands_.dispatch(m, {Command::Op::stop, task.id, task.attempt, grace_s});
}

}  // namespace damsonport
