#include "coordination/machines/reconcile.hpp"

#include <algorithm>

namespace damsonport {

ReconcileResult reconcile(const Machine& machine, const std::vector<DesiredTask>& desired_tasks,
                          uint64_t own_fencing_token, bool records_current) {
  ReconcileResult result;
  // Until the worker has received this lease's fencing token, commands of an earlier shard leader
  // may still reach it; until the records are current, a start by an earlier leader may be missing
  // here.
  const bool is_conclusive = machine.fencing_token >= own_fencing_token && records_current;
  if (!is_conclusive) return result;
  std::map<TaskId, const DesiredTask*> desired_by_task;
  for (auto& desired : desired_tasks) desired_by_task[desired.task] = &desired;

  size_t matching_tasks = 0;
  for (auto& [name, reported] : machine.tasks) {
    auto it = desired_by_task.find(name);
    const DesiredTask* desired = it == desired_by_task.end() ? nullptr : it->second;
    const bool is_desired_attempt = desired && desired->attempt == reported.attempt;
    if (reported.state == TaskState::exited) {
      if (is_desired_attempt) {
        result.exits.push_back({name, reported.attempt, reported.cause, reported.saved});
      } else if (!machine.has_outstanding_start({name, reported.attempt})) {
        // After the removal a late copy of the start command would run the attempt again, so the
        // removal waits until no such copy can be in transit.
        result.commands.push_back({Command::Op::remove, name, reported.attempt, 0});
      }
    } else if (!is_desired_attempt || desired->cancelled) {
      result.commands.push_back({Command::Op::stop, name, reported.attempt, 0});
    } else if (desired->stop && reported.state != TaskState::saving) {
      result.commands.push_back({Command::Op::stop, name, reported.attempt, *desired->stop});
    } else if (!desired->stop) {
      ++matching_tasks;
    }
  }
  result.in_sync = matching_tasks == machine.tasks.size() && matching_tasks == desired_tasks.size();

  for (auto& desired : desired_tasks) {
    auto it = machine.tasks.find(desired.task);
    if (it != machine.tasks.end() && it->second.attempt == desired.attempt) continue;
    // Another attempt of the task has to end first; the loop above stops it.
    if (it != machine.tasks.end() && it->second.state != TaskState::exited) continue;
    const AttemptKey key{desired.task, desired.attempt};
    if (machine.starts_in_flight.contains(key)) continue;
    if (desired.cancelled || desired.stop) {
      if (machine.has_outstanding_start(key)) {
        // The start command may still arrive, and a stop before it would have no effect. A start
        // and a stop in one message make the worker report the attempt as exited and
        // ignore a late copy of the start.
        result.commands.push_back({Command::Op::start, desired.task, desired.attempt, 0});
        result.commands.push_back({Command::Op::stop, desired.task, desired.attempt, 0});
      } else {
        // The attempt is not on the machine and no start command for it is in transit, so it has
        // ended or will never start.
        result.exits.push_back({desired.task, desired.attempt, ExitCause::stopped, false});
      }
      continue;
    }
    // The start command was lost, or the task ended with an earlier epoch of the worker. The start
    // can be repeated, since the same attempt can't run twice on the same machine.
    result.commands.push_back({Command::Op::start, desired.task, desired.attempt, 0});
  }
  return result;
}

bool proves_exit(const ForwardedExit& exit, const Machine* machine) {
  if (exit.cause == ExitCause::done || !machine) return true;
  // An exit without an epoch may be of any, so it counts as one of the first.
  const uint64_t reported_in = std::max(exit.agent_epoch, first_agent_epoch);
  return machine->agent_epoch <= reported_in;
}

}  // namespace damsonport
