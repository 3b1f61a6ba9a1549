/// A chunk: the states of some neighbouring tasks of a job, kept in one record.
///
/// A chunk holds the tasks [first, first + size) of its job; indices here are relative to `first`.
/// Tasks below `next` that are neither waiting nor live are done, and those from `next` on were
/// never started. The record's size is therefore bounded by the chunk's size, however many tasks
/// are done.
#pragma once
#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace damsonport {

/// A task that some machine may be running.
struct LiveTask {
  uint32_t index;
  uint64_t attempt;
  std::string machine;
};

/// A task to be started, again or for the first time.
struct WaitingTask {
  uint32_t index;
  uint64_t attempt;  // the last one used; 0: none
};

/// Iterator to the first entry, of entries ordered by their index, with at least this index.
template <class Entries>
auto first_at_or_after(Entries& entries, uint32_t index) {
  return std::lower_bound(entries.begin(), entries.end(), index,
                          [](const auto& entry, uint32_t i) { return entry.index < i; });
}

/// Iterator to the entry with this index, or the end.
template <class Entries>
auto find_entry(Entries& entries, uint32_t index) {
  const auto it = first_at_or_after(entries, index);
  return it != entries.end() && it->index == index ? it : entries.end();
}

/// The entries with indices in [first, end).
template <class Entry>
std::span<const Entry> entries_within(const std::vector<Entry>& entries, uint32_t first,
                                      uint32_t end) {
  return {first_at_or_after(entries, first), first_at_or_after(entries, end)};
}

/// What becomes of a task whose attempt is proven to have ended.
enum class TaskEnd : uint8_t { done, restart };

struct TaskChunk {
  uint32_t next = 0;                 // the first task that was never started
  std::vector<LiveTask> live;        // by index
  std::vector<WaitingTask> waiting;  // by index

  /// Null when the task isn't live.
  LiveTask* find_live(uint32_t index);

  /// A task to start, and the attempt that the start would be.
  struct NextStart {
    uint32_t index;
    uint64_t attempt;
  };
  /// The task to be started next in a chunk of `size` tasks; nothing when none is left.
  std::optional<NextStart> next_startable(uint32_t size) const;
  /// Whether the task is neither live nor done.
  bool is_startable(uint32_t index) const;
  /// Makes the task live. Never-started tasks with lower indices become waiting ones.
  void start(uint32_t index, uint64_t attempt, const std::string& machine);
  /// The attempt of a live task is proven to have ended; no effect when the task isn't live.
  void end_attempt(uint32_t index, TaskEnd end);
  /// The highest attempt that any live or waiting task has had; 0: none.
  uint64_t last_attempt() const;
  bool finished(uint32_t size) const { return next == size && live.empty() && waiting.empty(); }
  uint32_t done_count() const { return next - static_cast<uint32_t>(live.size() + waiting.size()); }
};

}  // namespace damsonport
