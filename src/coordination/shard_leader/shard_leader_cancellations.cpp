// The shard leader's handling of cancelled jobs: their tasks are stopped at once, and a machine
// that keeps running one is returned to the cloud before the deadline of the cancellation.
#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

// A peer's message is enough: nobody needs these tasks any more, and stopping a task requires no
// proof.
bool ShardLeader::is_cancelled(const Job& job) const {
  return job.cancelled || deps_.cancellations.is_cancelled(job.spec.id);
}

double ShardLeader::cancelled_since(const Job& job) const {
  const auto received = deps_.cancellations.cancelled_since(job.spec.id);
  if (!job.cancelled) return received.value_or(loop_.now());
  return received ? std::max(*received, job.cancelled_since) : job.cancelled_since;
}

void ShardLeader::on_peer_cancellation(const std::string& id) {
  Job* job = cache_.job(id);
  if (lease_.fencing_token() == 0 || !job) return;
  snapshot_builder_.mark_job_changed(*job);
  stop_cancelled(*job);
  deps_.changed.notify();
}

void ShardLeader::stop_cancelled(const Job& job) {
  if (!cancelled_jobs_.insert(job.spec.id).second) return;
  for (auto& task : job.live_tasks()) {
    mark_machine_changed(task.machine);
    auto it = machines_.find(task.machine);
    if (it != machines_.end() && it->second.tasks.contains(task.id))
      commands_.dispatch(it->second, {Command::Op::stop, task.id, task.attempt, 0});
  }
}

bool ShardLeader::has_recent_message(const Machine& m) const {
  const double last = std::max(m.last_heartbeat_at, m.last_direct_response_at);
  return m.agent_epoch != 0 && loop_.now() - last <= failure_detector_.suspect_after_s();
}

// True if a recent message of the machine doesn't contain the task, or shows that it has exited.
// That doesn't prove that the task may be started elsewhere, but the machine need not be returned
// while its messages remain so.
bool ShardLeader::has_released_task(const std::string& id, const TaskId& task,
                                    uint64_t attempt) const {
  const Machine* m = find_machine(id);
  if (!m || !has_recent_message(*m)) return false;
  auto t = m->tasks.find(task);
  if (t != m->tasks.end() && t->second.state != TaskState::exited) return false;
  // An exited attempt that the worker still has can't begin again.
  const bool is_listed = t != m->tasks.end() && t->second.attempt == attempt;
  return is_listed || !m->has_outstanding_start({task, attempt});
}

bool ShardLeader::has_released_job(const std::string& id, const std::string& job) const {
  const Machine* m = find_machine(id);
  if (!m || !has_recent_message(*m)) return false;
  return std::none_of(m->tasks.begin(), m->tasks.end(), [&](auto& task) {
    return task.first.job == job && task.second.state != TaskState::exited;
  });
}

// Whether a machine that keeps a task of a job that was cancelled this long ago is to be returned.
bool ShardLeader::is_return_due(double age_s) const {
  // A new shard leader has not received its machines' heartbeats yet. It waits for them, but not
  // beyond the time at which the tasks must be gone. For a still older cancellation it waits in any
  // case: the tasks were stopped long ago, or the deadline is missed already.
  const bool heartbeats_received =
      loop_.now() - lease_.acquired_at() > 2 * settings_.heartbeat_interval_s;
  const double latest_wait_s = settings_.cancel_s * 0.9;
  const double oldest_urgent_age_s = settings_.cancel_s * 1.1;
  return age_s >= settings_.cancel_s * tuning_.cancel_return_share &&
         (heartbeats_received || (age_s >= latest_wait_s && age_s <= oldest_urgent_age_s));
}

void ShardLeader::return_for_cancelled(const std::string& machine, const std::string& job) {
  scale_in_.request(machine, "it keeps a task of cancelled " + job,
                    ScaleInCause::keeps_cancelled_task);
}

// Returns the machines that have not stopped a cancelled task in time. The age of the cancellation
// is taken from the record or from peers' messages, so it survives any number of failovers.
void ShardLeader::return_machines_keeping_cancelled_tasks() {
  for (auto& id : cancelled_jobs_) {
    Job* job = cache_.job(id);
    if (!job || !is_return_due(loop_.now() - cancelled_since(*job))) continue;
    // A shard leader that was deposed while it couldn't read the records may not know the end of
    // the tasks that its peers have read.
    const auto* machines = deps_.cancellations.machines_of(id);
    for (auto& task : job->live_tasks()) {
      if (exits_.contains(task.id) || has_released_task(task.machine, task.id, task.attempt))
        continue;
      if (!machines || !machines->is_released(task.machine)) return_for_cancelled(task.machine, id);
    }
  }
  if (!contact_.in_contact()) return_machines_listed_by_peers();
}

// Without the key-value store, this shard leader may have been deposed by one that has ended since,
// and which has started the job on other machines.
void ShardLeader::return_machines_listed_by_peers() {
  for (auto& cancellation : deps_.cancellations.all()) {
    const bool is_in_records = !cancellation.received_at;
    if (is_in_records || !cancellation.machines || !is_return_due(loop_.now() - cancellation.since))
      continue;
    for (auto& machine : cancellation.machines->listed())
      if (!has_released_job(machine, cancellation.job))
        return_for_cancelled(machine, cancellation.job);
  }
}

}  // namespace damsonport
