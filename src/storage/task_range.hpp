/// A range of consecutive tasks of a job, identified by their indices.
#pragma once
#include <cstdint>

namespace damsonport {

/// The tasks with indices in [first, first + count).
struct TaskRange {
  uint32_t first = 0;
  uint32_t count = 0;

  /// The index after the last task of the range.
  uint32_t end() const { return first + count; }
  bool contains(uint32_t index) const { return index >= first && index < end(); }
  auto operator<=>(const TaskRange&) const = default;
};

}  // namespace damsonport
