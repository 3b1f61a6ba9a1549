/// Compares the tasks that a machine reports with the tasks that the records place on it, to decide
/// which commands to send and which exits are proven. Pure.
#pragma once
#include <functional>
#include <vector>

#include "coordination/machines/machine.hpp"
#include "storage/record_types.hpp"

namespace damsonport {

/// A task that the records place on the machine.
struct DesiredTask {
  TaskId task;
  uint64_t attempt = 0;
  bool cancelled = false;      ///< the task's job is cancelled
  std::optional<double> stop;  ///< if to be stopped: grace period, s
};

/// An attempt that has certainly ended on the machine or will certainly never start there.
struct ProvenExit {
  TaskId task;
  uint64_t attempt = 0;
  ExitCause cause = ExitCause::none;
  bool saved = false;  ///< a checkpoint was saved at the end
};

/// Result of reconcile().
struct ReconcileResult {
  std::vector<Command> commands;  ///< to be sent to the worker
  std::vector<ProvenExit> exits;  ///< to be committed to the records
  /// Whether the machine runs exactly the tasks that the records place on it, and none of them is
  /// to be stopped.
  bool in_sync = false;
  /// Exited attempts that can only be removed under a higher token than those of the lease so far.
  size_t kept_exits = 0;
};

/// Reconciles the machine with `desired_tasks`, the tasks that the records place on it. `tokens`:
/// those of the current lease; a worker that has not received one of them yet may still accept
/// commands of an earlier shard leader. `records_current`: whether the records include all writes
/// of earlier shard leaders. Unless the machine has received a token and the records are current,
/// nothing is proven and the result is empty.
[[nodiscard]] ReconcileResult reconcile(const Machine& machine,
                                        const std::vector<DesiredTask>& desired_tasks,
                                        const FencingTokens& tokens, bool records_current);

/// Whether an exit that another controller forwarded under a fencing token of the current lease
/// proves that the attempt has ended. `machine`: the machine that reported the exit; null if this
/// lease has received no message from it.
///
/// The worker forgets an exited attempt when its agent epoch ends, and reconcile() then starts the
/// attempt again. So an exit of an earlier epoch than the machine's current one says nothing about
/// the present, except that a task that was done stays done. An exit of the current epoch is proof,
/// because the worker keeps it until its end is committed and no copy of its start command is
/// accepted any more, and because a gang's attempt isn't started there again later
/// (GangTracker::may_place()). An exit of a later epoch is proof, because start commands of this
/// lease can only have reached the worker in epochs up to the current one.
[[nodiscard]] bool proves_exit(const ForwardedExit& exit, const Machine* machine);

}  // namespace damsonport
