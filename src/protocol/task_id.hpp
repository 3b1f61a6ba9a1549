/// Identifier of one task of a job, and its text form.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace damsonport {

/// Identifies a task by its job's id and by its index within the job, which starts at 0.
struct TaskId {
  std::string job;
  uint32_t index = 0;

  /// Returns "JOB/INDEX", the form in messages.
  std::string text() const { return job + "/" + std::to_string(index); }
  auto operator<=>(const TaskId&) const = default;
};

/// Parses the form of TaskId::text(). Returns false if `text` is invalid; `out` is unspecified
/// then.
bool parse_task_id(std::string_view text, TaskId& out);

}  // namespace damsonport
