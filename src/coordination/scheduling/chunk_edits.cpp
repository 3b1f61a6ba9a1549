#include "coordination/scheduling/chunk_edits.hpp"

namespace damsonport {

namespace {
// Of the 64 KiB that a transaction may have; the rest is for its keys and conditions.
constexpr size_t max_bytes = size_t{48} * 1024;
constexpr size_t head_bytes = 64, entry_bytes = 48;
}  // namespace

TaskChunk* ChunkEdits::edit(const Job& job, uint32_t chunk) {
  const auto key = job.chunk_key(chunk);
  if (auto it = edits_.find(key); it != edits_.end()) return &it->second;
  if (writes() >= limits_.txn_writes) return nullptr;
  TaskChunk record;
  if (auto c = job.chunks.find(chunk); c != job.chunks.end()) record = c->second.record;
  const size_t entries = record.live.size() + record.waiting.size();
  const size_t size = head_bytes + entry_bytes * entries;
  if (bytes_ + size > max_bytes && !edits_.empty()) return nullptr;
  bytes_ += size;
  transaction_.preconditions[key] = cache_.chunk_version(job.spec.id, chunk);
  return &(edits_[key] = std::move(record));
}

// A record that was nearly empty may have hundreds of tasks started in it at once. The first always
// fits, since a record does.
bool ChunkEdits::take_entry() {
  if (any_entry_ && bytes_ + entry_bytes > max_bytes) return false;
  bytes_ += entry_bytes;
  any_entry_ = true;
  return true;
}

void ChunkEdits::require_unchanged(const Job& job) {
  transaction_.preconditions[keys::job(job.spec.id)] = job.version;
}

bool ChunkEdits::end_with_edit(const Job& job) {
  constexpr int records = 2;  // the job's own, and its final state
  if (writes() + records > limits_.txn_writes) return false;
  const auto& id = job.spec.id;
  require_unchanged(job);
  ended_.insert(job.chunk_key(0));
  transaction_.writes.push_back({keys::job(id), Json(), 0});
  transaction_.writes.push_back(
      {keys::final_state(id), encode_final_state(FinalState::done, job.spec.tasks), 0});
  return true;
}

Transaction ChunkEdits::finish() {
  transaction_.preconditions[keys::shard_table] = cache_.shard_table_version();
  for (auto& [key, record] : edits_)
    transaction_.writes.push_back({key, ended_.contains(key) ? Json() : encode_chunk(record), 0});
  return std::move(transaction_);
}

}  // namespace damsonport
