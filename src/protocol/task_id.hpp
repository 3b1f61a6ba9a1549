/// The name of one task of a job.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace damsonport {

/// A task is named by its job and its index within the job, from 0.
struct TaskId {
  std::string job;
  uint32_t index = 0;

  /// "JOB/INDEX", the form on the wire.
  std::string text() const { return job + "/" + std::to_string(index); }
  auto operator<=>(const TaskId&) const = default;
};

/// Parses the form that TaskId::text() writes; false where `text` is none, and `out` is undefined.
bool parse_task_id(std::string_view text, TaskId& out);

}  // namespace damsonport
