// Edits of chunk records, gathered into one transaction inside the state service's limits.
#pragma once
#include <map>
#include <set>
#include <string>

#include "config/state_limits.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

class ChunkEdits {
 public:
  ChunkEdits(const RecordCache& cache, const StateLimits& limits)
      : cache_(cache), limits_(limits) {}

  // The record to edit, or null when the transaction is full.
  TaskChunk* edit(const Job& job, uint32_t chunk);
  // Makes room for one more started task in the records edited; false: the transaction is full.
  bool take_entry();
  bool empty() const { return edits_.empty(); }
  // The job's record has to be as it is known here.
  void require_unchanged(const Job& job);
  // The job is over with the edit of its only chunk: its records go, and its final state stays. The
  // edit stands as it is where the transaction has no room for that: false.
  bool end_with_edit(const Job& job);
  Transaction finish();

 private:
  const RecordCache& cache_;
  int writes() const { return static_cast<int>(edits_.size() + transaction_.writes.size()); }
  StateLimits limits_;
  size_t bytes_ = 0;
  bool any_entry_ = false;
  std::map<std::string, TaskChunk> edits_;
  std::set<std::string> ended_;  // keys of chunks that go with their jobs
  Transaction transaction_;
};

}  // namespace damsonport
