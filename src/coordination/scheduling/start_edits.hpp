// Starts on their way from placement's decision to their order, and their edits of the records.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "coordination/scheduling/chunk_edits.hpp"

namespace damsonport {

// By name: places in placement's view are used anew while starts are committed.
struct DecidedStart {
  std::string job, machine;
  bool image_cached;
};
// All tasks of a gang that are to be started now.
struct DecidedGang {
  TaskRange tasks;
  std::vector<DecidedStart> starts;
};
// Committed, and not ordered yet.
struct CommittedStart {
  TaskId task;
  uint64_t attempt;
  std::string machine;
  bool image_cached;
};

// The next task of a job to be started, in a record among the edits.
struct StartableTask {
  TaskChunk* record = nullptr;    // null: there is none
  uint32_t chunk = 0, index = 0;  // `index`: within the chunk
  uint64_t attempt = 0;
  bool full = false;  // the transaction has no room for another record
};
// `must_wait`: the record may not be written now.
StartableTask find_startable(const Job& job, ChunkEdits& edits,
                             const std::function<bool(const TaskChunk&)>& must_wait);

// Takes as many of the gang's starts, but for the first `committed`, as the transaction has room
// for.
std::vector<CommittedStart> edit_gang_starts(const Job& job, const DecidedGang& gang,
                                             size_t committed, uint64_t attempt, ChunkEdits& edits);

}  // namespace damsonport
