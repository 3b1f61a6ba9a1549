/// Collects edits of task chunks in one transaction within the limits of the key-value store.
#pragma once
#include <map>
#include <set>
#include <string>

#include "config/state_limits.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Builds a single transaction: edits, followed by finish(). The preconditions of the transaction
/// are that the edited chunks and the shard table have not changed since they were read into the
/// cache. The precondition on the shard table makes the writes of a leader fail after another
/// leader replaced it.
class ChunkEdits {
 public:
  /// The cache has to outlive the edits.
  ChunkEdits(const RecordCache& cache, const StateLimits& limits)
      : cache_(cache), limits_(limits) {}

  /// Returns the chunk for editing. The pointer is valid until finish(). Returns null if the
  /// transaction is full.
  [[nodiscard]] TaskChunk* edit(const Job& job, uint32_t chunk);
  /// Accounts for the size of one more started task in the edited chunks. Returns false if the
  /// transaction is full.
  [[nodiscard]] bool reserve_task_entry();
  [[nodiscard]] bool empty() const { return edits_.empty(); }
  /// Adds the precondition that the job's record has not changed.
  void require_unchanged(const Job& job);
  /// For a job whose only chunk was edited such that all its tasks are done: deletes the job's
  /// records and writes its final state instead. Returns false, and leaves the edit as it is, if
  /// the transaction is full.
  [[nodiscard]] bool end_job(const Job& job);
  /// Returns the transaction. No other function may be called afterwards.
  [[nodiscard]] Transaction finish();

 private:
  [[nodiscard]] int writes() const {
    return static_cast<int>(edits_.size() + transaction_.writes.size());
  }

  const RecordCache& cache_;
  StateLimits limits_;
  size_t bytes_ = 0;  // estimated size of the transaction
  bool has_task_entry_ = false;
  std::map<std::string, TaskChunk> edits_;  // by key
  std::set<std::string> ended_;             // keys of chunks that are deleted with their jobs
  Transaction transaction_;
};

}  // namespace damsonport
