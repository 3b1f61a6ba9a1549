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

// True if a recent message of the machine doesn't contain the task, or shows that it has exited.
// That doesn't prove that the task may be started elsewhere, but the machine need not be returned
// while its messages remain so.
bool ShardLeader::has_released_task(const std::string& id, const TaskId& task,
                                    uint64_t attempt) const {
  auto it = machines_.find(id);
  if (it == machines_.end() || it->second.agent_epoch == 0) return false;
  auto& m = it->second;
  if (loop_.now() - std::max(m.last_heartbeat_at, m.last_direct_response_at) >
      failure_detector_.suspect_after_s())
    return false;
  if (m.has_outstanding_start({task, attempt})) return false;
  auto t = m.tasks.find(task);
  return t == m.tasks.end() || t->second.state == TaskState::exited;
}

// Returns the machines that have not stopped a cancelled task in time. The age of the cancellation
// is taken from the record or from peers' messages, so it survives any number of failovers.
void ShardLeader::return_machines_keeping_cancelled_tasks() {
  const double now = loop_.now();
  const double return_after_s = settings_.cancel_s * tuning_.cancel_return_share;
  // A new shard leader has not received its machines' heartbeats yet. It waits for them, but not
  // beyond the time at which the tasks must be gone. For a still older cancellation it waits in any
  // case: the tasks were stopped long ago, or the deadline is missed already.
  const bool heartbeats_received = now - lease_.acquired_at() > 2 * settings_.heartbeat_interval_s;
  const double latest_wait_s = settings_.cancel_s * 0.9;
  const double oldest_urgent_age_s = settings_.cancel_s * 1.1;
  for (auto& id : cancelled_jobs_) {
    Job* job = cache_.job(id);
    if (!job) continue;
    const double age_s = now - cancelled_since(*job);
    if (age_s < return_after_s ||
        (!heartbeats_received && (age_s < latest_wait_s || age_s > oldest_urgent_age_s)))
      continue;
    for (auto& task : job->live_tasks()) {
      if (exits_.contains(task.id) || has_released_task(task.machine, task.id, task.attempt))
        continue;
      scale_in_.request(task.machine, "it keeps a task of cancelled " + id,
                        ScaleInCause::keeps_cancelled_task);
    }
  }
}

}  // namespace damsonport
