/// A task chunk: the states of consecutive tasks of a job, stored in one record.
///
/// A chunk holds the tasks [first, first + size) of its job; the indices in this file are relative
/// to `first`. Tasks below `next` that are neither waiting nor live are done, and tasks from `next`
/// on were never started. Done tasks take no space, so the size of the chunk bounds the size of its
/// record.
#pragma once
#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace damsonport {

/// A task that a machine may be running: the task was started, and no exit of its attempt is
/// proven.
struct LiveTask {
  uint32_t index;
  uint64_t attempt;
  std::string machine;
};

/// A task that is to be started, either again or for the first time.
struct WaitingTask {
  uint32_t index;
  uint64_t attempt;  // last attempt that was started; 0: none
};

/// Returns an iterator to the first entry whose index is at least `index`. The entries are ordered
/// by index.
template <class Entries>
auto first_at_or_after(Entries& entries, uint32_t index) {
  return std::lower_bound(entries.begin(), entries.end(), index,
                          [](const auto& entry, uint32_t i) { return entry.index < i; });
}

/// Returns an iterator to the entry with this index, or entries.end(). The entries are ordered by
/// index.
template <class Entries>
auto find_entry(Entries& entries, uint32_t index) {
  const auto it = first_at_or_after(entries, index);
  return it != entries.end() && it->index == index ? it : entries.end();
}

/// The entries with indices in [first, end). The entries are ordered by index; the span is valid
/// until `entries` changes.
template <class Entry>
std::span<const Entry> entries_within(const std::vector<Entry>& entries, uint32_t first,
                                      uint32_t end) {
  return {first_at_or_after(entries, first), first_at_or_after(entries, end)};
}

/// How the state of a task changes when its attempt is proven to have ended: the task is done, or
/// waits for another start.
enum class TaskEnd : uint8_t { done, restart };

/// The states of the tasks of one chunk. The number of tasks is not part of the record: functions
/// that need it take it as `size`.
struct TaskChunk {
  uint32_t next = 0;                 // first task that was never started
  std::vector<LiveTask> live;        // ordered by index
  std::vector<WaitingTask> waiting;  // ordered by index

  /// Returns the live task with this index, or null when the task isn't live. The pointer is valid
  /// until the chunk changes.
  LiveTask* find_live(uint32_t index);

  /// A task that can be started, and the attempt number of that start.
  struct NextStart {
    uint32_t index;
    uint64_t attempt;
  };
  /// Returns the task to start next in a chunk of `size` tasks, waiting tasks before never-started
  /// ones; nullopt when no task is left to start.
  std::optional<NextStart> next_startable(uint32_t size) const;
  /// Whether the task is neither live nor done.
  bool is_startable(uint32_t index) const;
  /// Makes the task live on `machine`. Never-started tasks with lower indices become waiting tasks.
  void start(uint32_t index, uint64_t attempt, const std::string& machine);
  /// Records that the attempt of a live task is proven to have ended. Does nothing when the task
  /// isn't live.
  void end_attempt(uint32_t index, TaskEnd end);
  /// The highest attempt of any live or waiting task; 0 when none was started.
  uint64_t last_attempt() const;
  /// Whether all `size` tasks are done.
  bool finished(uint32_t size) const { return next == size && live.empty() && waiting.empty(); }
  uint32_t done_count() const { return next - static_cast<uint32_t>(live.size() + waiting.size()); }
};

}  // namespace damsonport
