#include "coordination/scheduling/chunk_edits.hpp"

namespace damsonport {

namespace {

// A transaction is limited to 64 KiB. The rest is left for the keys and preconditions.
constexpr size_t max_transaction_bytes = size_t{48} * 1024;
// Estimated sizes of an encoded chunk without tasks, and of one task in it.
constexpr size_t chunk_header_bytes = 64;
constexpr size_t task_entry_bytes = 48;
// A job's end takes one write of the job's record and one of its final state.
constexpr int writes_to_end_job = 2;

}  // namespace

TaskChunk* ChunkEdits::edit(const Job& job, uint32_t chunk) {
  const std::string key = job.chunk_key(chunk);
  if (const auto it = edits_.find(key); it != edits_.end()) return &it->second;
  if (writes() >= limits_.txn_writes) return nullptr;
  TaskChunk record;
  if (const auto known = job.chunks.find(chunk); known != job.chunks.end())
    record = known->second.record;
  const size_t entries = record.live.size() + record.waiting.size();
  const size_t size = chunk_header_bytes + task_entry_bytes * entries;
  if (bytes_ + size > max_transaction_bytes && !edits_.empty()) return nullptr;
  bytes_ += size;
  transaction_.preconditions[key] = cache_.chunk_version(job.spec.id, chunk);
  return &edits_.insert_or_assign(key, std::move(record)).first->second;
}

// Starts can add hundreds of entries to a chunk that was nearly empty, so each entry is counted.
// The first entry always fits, because a chunk with one entry fits into a transaction.
bool ChunkEdits::reserve_task_entry() {
  if (has_task_entry_ && bytes_ + task_entry_bytes > max_transaction_bytes) return false;
  bytes_ += task_entry_bytes;
  has_task_entry_ = true;
  return true;
}

void ChunkEdits::require_unchanged(const Job& job) {
  transaction_.preconditions[keys::job(job.spec.id)] = job.version;
}

bool ChunkEdits::end_job(const Job& job) {
  if (writes() + writes_to_end_job > limits_.txn_writes) return false;
  const std::string& id = job.spec.id;
  require_unchanged(job);
  ended_.insert(job.chunk_key(0));
  transaction_.writes.push_back({keys::job(id), Json(), 0});
  transaction_.writes.push_back(
      {keys::final_state(id), encode_final_state(FinalState::done, job.spec.tasks), 0});
  return true;
}

Transaction ChunkEdits::finish() {
  transaction_.preconditions[keys::shard_table] = cache_.shard_table_version();
  for (const auto& [key, record] : edits_) {
    Json value = ended_.contains(key) ? Json() : encode_chunk(record);
    transaction_.writes.push_back({key, std::move(value), 0});
  }
  return std::move(transaction_);
}

}  // namespace damsonport
