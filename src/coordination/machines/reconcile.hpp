/// Compares the tasks that a machine reports with those that the records place on it: which
/// commands to send, and which exits are proven. Pure.
#pragma once
#include <functional>
#include <vector>

#include "coordination/machines/machine.hpp"

namespace damsonport {

/// A task that the records place on the machine.
struct DesiredTask {
  TaskId task;
  uint64_t attempt = 0;
  bool cancelled = false;      ///< its job is cancelled
  std::optional<double> stop;  ///< to be stopped, with this grace in seconds
};

/// An attempt that certainly has ended, or never will start, on the machine.
struct ProvenExit {
  TaskId task;
  uint64_t attempt = 0;
  ExitCause cause = ExitCause::none;
  bool saved = false;  ///< a checkpoint was written at the end
};

struct ReconcileResult {
  std::vector<Command> commands;
  std::vector<ProvenExit> exits;  ///< to be committed
  /// The machine runs what the records place on it and nothing else, and none of it is to be
  /// stopped.
  bool in_sync = false;
};

/// `desired_tasks`: the tasks that the records place on this machine. `own_fencing_token`: that of
/// the present lease; until the machine has learned it, commands of an earlier shard leader may
/// still reach it. `records_current`: the records include every write of earlier shard leaders. The
/// result is empty unless both hold, since nothing is proven before.
[[nodiscard]] ReconcileResult reconcile(const Machine& machine,
                                        const std::vector<DesiredTask>& desired_tasks,
                                        uint64_t own_fencing_token, bool records_current);

}  // namespace damsonport
