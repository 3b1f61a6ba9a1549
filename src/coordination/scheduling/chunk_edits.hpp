/// Edits of task chunks, gathered into one transaction within the limits of the key-value store.
#pragma once
#include <map>
#include <set>
#include <string>

#include "config/state_limits.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Used for one transaction: edit, then finish(). Every edited chunk has to be unchanged since it
/// was read into the cache, and so has the shard table, which makes the leader's writes fail once
/// it is deposed.
class ChunkEdits {
 public:
  /// The cache has to outlive the edits.
  ChunkEdits(const RecordCache& cache, const StateLimits& limits)
      : cache_(cache), limits_(limits) {}

  /// The chunk to edit, valid until finish(). Null: the transaction is full.
  [[nodiscard]] TaskChunk* edit(const Job& job, uint32_t chunk);
  /// Accounts for one more started task in the edited chunks. False: the transaction is full.
  [[nodiscard]] bool reserve_task_entry();
  [[nodiscard]] bool empty() const { return edits_.empty(); }
  /// The job's own record has to be unchanged, too.
  void require_unchanged(const Job& job);
  /// The edit of the job's only chunk ends the job: its records are deleted, and its final state is
  /// written. False: the transaction has no room for that, and the edit stands as it is.
  [[nodiscard]] bool end_job(const Job& job);
  /// The transaction; nothing may be called after it.
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
