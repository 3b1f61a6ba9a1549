#include "coordination/machines/reconcile.hpp"

#include <algorithm>

namespace damsonport {

namespace {

using DesiredByTask = std::map<TaskId, const DesiredTask*>;

const DesiredTask* find_desired(const DesiredByTask& desired, const TaskId& task) {
  auto it = desired.find(task);
  return it == desired.end() ? nullptr : it->second;
}

// Removes the exited attempt, which the records don't place on the machine, as soon as that is
// safe.
void remove_or_keep(const Machine& machine, const AttemptKey& exited, uint64_t newest_token,
                    ReconcileResult& result) {
  if (machine.may_remove(exited, newest_token)) {
    result.commands.push_back({Command::Op::remove, exited.first, exited.second, 0});
  } else if (!machine.starts_in_response.contains(exited)) {
    ++result.kept_exits;
  }
}

// Returns the number of reported tasks that run as the records say.
size_t reconcile_reported(const Machine& machine, const DesiredByTask& desired_by_task,
                          uint64_t newest_token, ReconcileResult& result) {
  size_t matching_tasks = 0;
  for (auto& [name, reported] : machine.tasks) {
    const DesiredTask* desired = find_desired(desired_by_task, name);
    const bool is_desired_attempt = desired && desired->attempt == reported.attempt;
    if (reported.state == TaskState::exited) {
      if (is_desired_attempt) {
        result.exits.push_back({name, reported.attempt, reported.cause, reported.saved});
      } else {
        remove_or_keep(machine, {name, reported.attempt}, newest_token, result);
      }
    } else if (!is_desired_attempt || desired->cancelled) {
      result.commands.push_back({Command::Op::stop, name, reported.attempt, 0});
    } else if (desired->stop && reported.state != TaskState::saving) {
      result.commands.push_back({Command::Op::stop, name, reported.attempt, *desired->stop});
    } else if (!desired->stop) {
      ++matching_tasks;
    }
  }
  return matching_tasks;
}

void reconcile_missing(const Machine& machine, const DesiredTask& desired,
                       ReconcileResult& result) {
  const AttemptKey key{desired.task, desired.attempt};
  if (machine.starts_in_flight.contains(key)) return;
  if (!desired.cancelled && !desired.stop) {
    // The start command was lost, or the task ended with an earlier epoch of the worker. The start
    // can be repeated, since the same attempt can't run twice on the same machine.
    result.commands.push_back({Command::Op::start, desired.task, desired.attempt, 0});
  } else if (machine.has_outstanding_start(key)) {
    // The start command may still arrive, and a stop before it would have no effect. A start
    // and a stop in one message make the worker report the attempt as exited and
    // ignore late copies of the start.
    result.commands.push_back({Command::Op::start, desired.task, desired.attempt, 0});
    result.commands.push_back({Command::Op::stop, desired.task, desired.attempt, 0});
  } else {
    // The attempt is not on the machine and no start command for it is in transit, so it has
    // ended or will never start.
    result.exits.push_back({desired.task, desired.attempt, ExitCause::stopped, false});
  }
}

}  // namespace

ReconcileResult reconcile(const Machine& machine, const std::vector<DesiredTask>& desired_tasks,
                          const FencingTokens& tokens, bool records_current) {
  ReconcileResult result;
  // Until the worker has received one of this lease's fencing tokens, commands of an earlier shard
  // leader may still reach it; until the records are current, a start by an earlier leader may be
  // missing here.
  const bool is_conclusive = machine.fencing_token >= tokens.first && records_current;
  if (!is_conclusive) return result;
  DesiredByTask desired_by_task;
  for (auto& desired : desired_tasks) desired_by_task[desired.task] = &desired;

  const size_t matching_tasks = reconcile_reported(machine, desired_by_task, tokens.newest, result);
  result.in_sync = matching_tasks + result.kept_exits == machine.tasks.size() &&
                   matching_tasks == desired_tasks.size();
  for (auto& exited : machine.other_exits) {
    const DesiredTask* desired = find_desired(desired_by_task, exited.first);
    if (!desired || desired->attempt != exited.second)
      remove_or_keep(machine, exited, tokens.newest, result);
  }

  for (auto& desired : desired_tasks) {
    auto it = machine.tasks.find(desired.task);
    if (it != machine.tasks.end() && it->second.attempt == desired.attempt) continue;
    // Another attempt of the task has to end first; reconcile_reported() stops it.
    if (it != machine.tasks.end() && it->second.state != TaskState::exited) continue;
    reconcile_missing(machine, desired, result);
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
