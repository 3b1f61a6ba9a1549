#include "coordination/machines/reconcile.hpp"

namespace damsonport {

ReconcileResult reconcile(const Machine& machine, const std::vector<DesiredTask>& desired_tasks,
                          uint64_t own_fencing_token, bool records_current) {
  ReconcileResult result;
  // Before the machine has learned our term an older holder's orders may still reach it, and before
  // our records are current a start of theirs may be unknown to us.
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
        // Once forgotten, a late copy of the start order would run the attempt again, so this
        // waits until no such copy can be under way.
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
    // An attempt of the same task that has to go first; it is dealt with above.
    if (it != machine.tasks.end() && it->second.state != TaskState::exited) continue;
    const AttemptKey key{desired.task, desired.attempt};
    if (machine.starts_in_flight.contains(key)) continue;
    if (desired.cancelled || desired.stop) {
      if (machine.has_outstanding_start(key)) {
        // The start may still arrive, and a stop before it would have no effect. Starting and
        // stopping in one message makes the attempt known as exited; a late copy is then ignored.
        result.commands.push_back({Command::Op::start, desired.task, desired.attempt, 0});
        result.commands.push_back({Command::Op::stop, desired.task, desired.attempt, 0});
      } else {
        // Not there, and no order for it under way: it is gone.
        result.exits.push_back({desired.task, desired.attempt, ExitCause::stopped, false});
      }
      continue;
    }
    // Lost on the way, or with a session: the same attempt on the same machine can't run
    // twice.
    result.commands.push_back({Command::Op::start, desired.task, desired.attempt, 0});
  }
  return result;
}

}  // namespace damsonport
