/// Starts between the scheduler's decision and the command to the machine, and their edits of the
/// task chunks.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "coordination/scheduling/chunk_edits.hpp"

namespace damsonport {

/// One start. By name, because indexes into the snapshot are reused while starts are committed.
struct DecidedStart {
  std::string job;
  std::string machine;
  bool image_cached;
};

/// The starts of all pending tasks of a gang.
struct DecidedGang {
  TaskRange tasks;
  std::vector<DecidedStart> starts;
};

/// A start in the records, whose command is not dispatched yet.
struct CommittedStart {
  TaskId task;
  uint64_t attempt;
  std::string machine;
  bool image_cached;
};

/// The next task of a job to be started, in a chunk among the edits.
struct StartableTask {
  TaskChunk* record = nullptr;  ///< null: there is none; valid until the edits are finished
  uint32_t chunk = 0;
  uint32_t index = 0;  ///< within the chunk
  uint64_t attempt = 0;
  bool full = false;  ///< there may be one, but the transaction has no room for another chunk
};

/// `must_wait`: whether the chunk may not be written now.
[[nodiscard]] StartableTask find_startable_task(
    const Job& job, ChunkEdits& edits, const std::function<bool(const TaskChunk&)>& must_wait);

/// Edits the chunks for the gang's starts after the first `committed`, as many as the transaction
/// has room for. Returns those.
[[nodiscard]] std::vector<CommittedStart> edit_gang_starts(const Job& job, const DecidedGang& gang,
                                                           size_t committed, uint64_t attempt,
                                                           ChunkEdits& edits);

}  // namespace damsonport
