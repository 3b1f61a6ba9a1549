// Edits of chunk records, gathered into one transaction inside the state service's limits.
#pragma once
#include <map>
#include <set>
#include <string>

#include "protocol/state_limits.hpp"
#include "storage/cache.hpp"

namespace damsonport {

class ChunkEdits {
 public:
  ChunkEdits(const Cache& cache, const StateLimits& limits) : cache_(cache), limits_(limits) {}

  // The record to edit, or null when the transaction is full.
  ChunkRecord* edit(const Job& job, uint32_t chunk);
  bool empty() const { return edits_.empty(); }
  // The job's record has to be as it is known here.
  void require_unchanged(const Job& job);
  // The job is over with the edit of its only chunk: its records go, and its final state stays. The
  // edit stands as it is where the transaction has no room for that: false.
  bool end_with_edit(const Job& job);
  Txn finish();

 private:
  const Cache& cache_;
  StateLimits limits_;
  size_t bytes_ = 0;
  std::map<std::string, ChunkRecord> edits_;
  Txn txn_;
};

}  // namespace damsonport
