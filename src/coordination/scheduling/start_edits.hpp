/// Task starts between the scheduler's decision and the command to the machine, and the edits of
/// task chunks that record them.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "coordination/scheduling/chunk_edits.hpp"

namespace damsonport {

/// A decided start of one task. Job and machine are given by id, because snapshot indexes may be
/// reused while the start is being committed.
struct DecidedStart {
  std::string job;
  std::string machine;
  bool image_cached;
};

/// The decided starts of all pending tasks of a gang.
struct DecidedGang {
  TaskRange tasks;
  std::vector<DecidedStart> starts;
};

/// A start that is committed to the records and whose command is not dispatched yet.
struct CommittedStart {
  TaskId task;
  uint64_t attempt;
  std::string machine;
  bool image_cached;
};

/// The next task of a job to be started, and its chunk in the edits.
struct StartableTask {
  TaskChunk* record = nullptr;  ///< valid until ChunkEdits::finish(); null: none found
  uint32_t chunk = 0;
  uint32_t index = 0;  ///< index within the chunk
  uint64_t attempt = 0;
  /// The search stopped because the transaction has no space for another chunk.
  bool transaction_full = false;
};

/// Finds the next task of the job to be started. Chunks for which `must_wait` returns true are
/// skipped.
[[nodiscard]] StartableTask find_startable_task(
    const Job& job, ChunkEdits& edits, const std::function<bool(const TaskChunk&)>& must_wait);

/// Edits the chunks for the gang's starts, without the first `committed` ones, until the
/// transaction is full. Returns the starts that were added to the edits.
[[nodiscard]] std::vector<CommittedStart> edit_gang_starts(const Job& job, const DecidedGang& gang,
                                                           size_t committed, uint64_t attempt,
                                                           ChunkEdits& edits);

}  // namespace damsonport
