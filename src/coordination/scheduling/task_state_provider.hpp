/// What a shard leader knows of the tasks that the records place on machines, for the parts of it
/// that judge several tasks together.
#pragma once
#include <string>

#include "coordination/machines/machine.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

class TaskStateProvider {
 public:
  TaskStateProvider() = default;
  TaskStateProvider(const TaskStateProvider&) = delete;
  TaskStateProvider& operator=(const TaskStateProvider&) = delete;
  virtual ~TaskStateProvider() = default;

  /// Whether this attempt was told to stop, or is about to be.
  [[nodiscard]] virtual bool is_stopping(const PlacedTask& task) const = 0;
  /// Whether this attempt is proven gone and only the records don't say so yet.
  [[nodiscard]] virtual bool has_ended(const PlacedTask& task) const = 0;
  /// Null: not a machine of this leader. Valid until the machine is forgotten.
  [[nodiscard]] virtual const Machine* find_machine(const std::string& id) const = 0;
};

}  // namespace damsonport
