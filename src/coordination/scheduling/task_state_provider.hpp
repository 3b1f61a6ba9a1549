/// Interface through which GangTracker and ReplicaManager query the shard leader's state of placed
/// tasks and machines.
#pragma once
#include <string>

#include "coordination/machines/machine.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Implemented by the shard leader.
class TaskStateProvider {
 public:
  TaskStateProvider() = default;
  TaskStateProvider(const TaskStateProvider&) = delete;
  TaskStateProvider& operator=(const TaskStateProvider&) = delete;
  virtual ~TaskStateProvider() = default;

  /// Whether a stop command for this attempt was sent or is about to be sent.
  [[nodiscard]] virtual bool is_stopping(const PlacedTask& task) const = 0;
  /// Whether this attempt is known to have ended, but its exit is not committed to the records yet.
  [[nodiscard]] virtual bool has_ended(const PlacedTask& task) const = 0;
  /// Returns null if this shard leader has no such machine. The pointer is valid until the machine
  /// is forgotten.
  [[nodiscard]] virtual const Machine* find_machine(const std::string& id) const = 0;
};

}  // namespace damsonport
