// What a holder knows of the tasks that the records place, for those who judge several of them.
#pragma once
#include <string>

#include "coordination/machines/machine.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

class TaskFacts {
 public:
  TaskFacts() = default;
  TaskFacts(const TaskFacts&) = delete;
  TaskFacts& operator=(const TaskFacts&) = delete;
  virtual ~TaskFacts() = default;
  // This attempt was told to stop, or is about to be.
  virtual bool is_stopping(const PlacedTask& task) const = 0;
  // It is proven gone; the records are about to say so.
  virtual bool has_ended(const PlacedTask& task) const = 0;
  // Null: not a machine of this holder.
  virtual const Machine* find_machine(const std::string& id) const = 0;
};

}  // namespace damsonport
