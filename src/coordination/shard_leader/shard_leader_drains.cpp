// The shard leader's handling of machines that take no more tasks: preempted ones, stragglers, and
// drained ones.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

namespace {
// Requests with commands, or probes, in a row without a response after which a machine counts as
// unreachable, if its agent has restarted too.
constexpr int failures_of_unreachable = 3;
// For how many leases after its restart an agent counts as restarted: one that gets no responses
// restarts once a lease.
constexpr double restart_memory_leases = 1.5;
}  // namespace

// Replacements for drained machines come from the autoscaler's spare capacity.
void ShardLeader::drain(Machine& m, const std::string& reason) {
  if (m.draining) return;
  m.drain_reason = reason;
  m.draining = true;
  mark_machine_changed(m.id);
  scheduling_requested_ = true;
}

// Stops a task that can save its state early enough to do so, and any other task just before the
// cloud takes the machine.
void ShardLeader::stop_before_preemption(const Machine& m) {
  const double interval_s = settings_.heartbeat_interval_s;
  const double left_s = *m.preempted_at - loop_.now();
  for (auto& [assignment, attempt] : cache_.assignments_on(m.id)) {
    const JobSpec& spec = assignment.job->spec;
    const TaskId task{spec.id, assignment.index};
    if (stop_requests_.contains(task)) continue;
    const double grace_s = stop_grace_s(spec);
    const bool saves = spec.checkpoint_s > 0;
    if (left_s >= (saves ? grace_s + 2 * interval_s : interval_s / 2)) continue;
    if (spec.gang_size() > 0) {
      stop_gang(*assignment.job, gang_containing(spec, assignment.index), grace_s);
    } else {
      stop_task({task, attempt, m.id}, grace_s);
    }
  }
}

void ShardLeader::check_drains() {
  const double now = loop_.now();
  for (auto& [id, m] : machines_) {
    // A failed job avoids the machine only for a time: if few machines fit the job, it could
    // otherwise never run again after one failure on each.
    if (std::erase_if(m.failed_jobs,
                      [&](auto& failed) { return now - failed.second > 2 * settings_.lease_s; }))
      mark_machine_changed(id);
    if (scale_in_.is_leaving(id)) continue;
    if (m.preempted_at) stop_before_preemption(m);
    // The jobs that failed here are tried on other machines first, which may show that the jobs are
    // at fault.
    const bool in_dispute = m.faulty_since > 0 && now - m.faulty_since < settings_.lease_s;
    const bool empty =
        cache_.assignments_on(id).empty() && !m.has_live_tasks() && m.agent_epoch != 0;
    if (m.draining && empty && !in_dispute)
      scale_in_.request(id, "empty and drained (" + m.drain_reason + ")");
    if (can_not_be_answered(m)) scale_in_.request(id, "it can't be answered");
  }
}

// Responses don't reach the machine: its agent has restarted although every heartbeat was answered,
// and requests go unanswered. Requests with commands may have failed before the restart, in a
// partition that is over, so a probe has to go unanswered after it. A machine without new tasks may
// get no further commands, so probes alone are enough.
bool ShardLeader::can_not_be_answered(const Machine& m) const {
  const bool restarted =
      m.agent_epoch_changed_at > 0 &&
      loop_.now() - m.agent_epoch_changed_at < restart_memory_leases * settings_.lease_s;
  const bool unanswered_since_restart = m.unanswered_probe_sent_at > m.agent_epoch_changed_at;
  return restarted && unanswered_since_restart && !m.answers_requests() &&
         std::max(m.failed_sends, m.unanswered_probes) >= failures_of_unreachable;
}

// Drains a straggler once a replacement has sent its first heartbeat. If the cloud refuses machines
// of the kind, returning the straggler is what makes room for a replacement, so the straggler is
// drained at once. It is also drained if the replacement doesn't come in time.
void ShardLeader::check_stragglers() {
  const double now = loop_.now();
  std::vector<Machine*> waiting, newcomers;
  double first_flagged = std::numeric_limits<double>::infinity();
  for (auto& [id, m] : machines_) {
    if (m.straggler_since == 0 || m.draining) continue;
    waiting.push_back(&m);
    first_flagged = std::min(first_flagged, m.straggler_since);
  }
  if (waiting.empty()) return;
  for (auto& [id, m] : machines_)
    if (!m.is_replacement && m.first_heartbeat_at > first_flagged) newcomers.push_back(&m);
  for (Machine* straggler : waiting) {
    Machine& m = *straggler;
    auto* type = deps_.catalog.type(m.type);
    for (Machine* other : newcomers) {
      if (other->is_replacement || other->type != m.type ||
          other->first_heartbeat_at <= m.straggler_since)
        continue;
      other->is_replacement = true;
      drain(m, "straggler, replaced by " + other->id);
      break;
    }
    if (!m.draining && (autoscaler_.is_refused({m.type, m.zone, m.spot}) ||
                        now - m.straggler_since > BootingMachines::late_after_s(type)))
      drain(m, "straggler, no replacement available");
  }
}

}  // namespace damsonport
