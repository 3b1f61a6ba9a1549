// Compares one machine's report with the records: what to order, and which exits are proven.
#pragma once
#include <functional>
#include <vector>

#include "coordination/machines/machine.hpp"

namespace damsonport {

// What the records say of a task, as far as one machine is concerned.
struct DesiredTask {
  TaskId task;
  uint64_t attempt = 0;
  bool cancelled = false;      // its job is cancelled
  std::optional<double> stop;  // to be stopped, with this grace
};

struct ProvenExit {
  TaskId task;
  uint64_t attempt = 0;
  ExitCause cause = ExitCause::none;
  bool saved = false;
};

struct ReconcileResult {
  std::vector<Command> commands;
  std::vector<ProvenExit> exits;  // proven; to be committed
  // The machine has what the records place on it and nothing else, and none of it is to be stopped.
  bool agrees = false;
};

// `expected`: what the records place on this machine. `settled`: whether the records are known to
// be past an exited attempt, so that it may be forgotten. `own_fencing_token`: only messages made
// after the machine learned it prove anything.
ReconcileResult reconcile(const Machine& m, const std::vector<DesiredTask>& expected,
                          uint64_t own_fencing_token, bool records_current);

}  // namespace damsonport
