#include "coordination/scheduling/rechunker.hpp"

#include <spdlog/spdlog.h>

#include "storage/rechunk.hpp"

namespace damsonport {

namespace {

// Delay after a transaction that was not written.
constexpr double retry_delay_s = 0.2;

}  // namespace

void Rechunker::clear() {
  requested_.clear();
  progress_ = {};
}

// Whether the job's layout allows for larger chunks than the limits.
bool Rechunker::is_oversized(const Job& job) const {
  return job.chunk_size > chunk_size(limits().value_kb);
}

bool Rechunker::start_must_wait(const Job& job, const TaskChunk& chunk) {
  if (requested_.contains(job.spec.id)) return true;
  if (!is_oversized(job)) return false;
  if (chunk_fits(chunk, limits().value_kb)) return false;
  if (versions_.all_have_recorded(VersionRegistry::current)) requested_.insert(job.spec.id);
  return true;
}

bool Rechunker::exit_must_wait(const Job& job, uint32_t chunk) {
  // Until all controllers are upgraded, the larger limits are in force and an exit must be written.
  return start_must_wait(job, job.chunks.at(chunk).record) && requested_.contains(job.spec.id);
}

bool Rechunker::gang_start_must_wait(const Job& gang) {
  const uint32_t max_chunk_size = chunk_size(limits().value_kb);
  if (gang.chunk_size > max_chunk_size && gang.tasks_in_chunk(0) > max_chunk_size)
    requested_.insert(gang.spec.id);
  return requested_.contains(gang.spec.id);
}

void Rechunker::note_rejected_writes(const std::vector<Write>& writes) {
  for (const Write& write : writes) {
    if (!write.key.starts_with(keys::chunk_prefix)) continue;
    const auto name =
        parse_chunk_name(std::string_view(write.key).substr(keys::chunk_prefix.size()));
    const Job* job = name ? cache_.job(name->job) : nullptr;
    if (job && is_oversized(*job)) requested_.insert(job->spec.id);
  }
}

Task<bool> Rechunker::commit_next(std::stop_token stop_token) {
  if (requested_.empty()) co_return false;
  const std::string id = *requested_.begin();
  const Job* job = cache_.job(id);
  if (!job || !is_oversized(*job)) {
    requested_.erase(id);
    co_return false;
  }
  if (progress_.job != id || progress_.job_version != job->version)
    progress_ = {id, job->version, rechunk(*job, chunk_size(limits().value_kb))};
  const bool done = progress_.to_write.empty() ? co_await commit_new_layout(id, stop_token)
                                               : co_await commit_new_chunks(id, stop_token);
  if (!done) {
    progress_ = {};
    co_await Sleep(loop_, retry_delay_s, stop_token);
  }
  co_return true;
}

Task<bool> Rechunker::commit_new_chunks(std::string id, std::stop_token stop_token) {
  const Job& job = *cache_.job(id);
  Transaction transaction;
  transaction.preconditions[keys::shard_table] = cache_.shard_table_version();
  transaction.preconditions[keys::job(id)] = job.version;
  std::vector<uint32_t> written;
  for (auto& [n, record] : progress_.to_write) {
    if (static_cast<int>(written.size()) >= limits().txn_writes) break;
    const auto key = keys::chunk(id, n, job.chunk_layout + 1);
    transaction.preconditions[key] = cache_.unattached_version(key);
    transaction.writes.push_back({key, encode_chunk(record), 0});
    written.push_back(n);
  }
  if (!co_await commit_(std::move(transaction), stop_token)) co_return false;
  for (uint32_t n : written) progress_.to_write.erase(n);
  co_return true;
}

Task<bool> Rechunker::commit_new_layout(std::string id, std::stop_token stop_token) {
  auto read = co_await store_.get(keys::job(id), RequestPriority::scheduling);
  const Job* job = cache_.job(id);
  if (!read.found() || !job || read.key_value.version != progress_.job_version) co_return false;
  Transaction transaction;
  transaction.preconditions[keys::shard_table] = cache_.shard_table_version();
  transaction.preconditions[keys::job(id)] = read.key_value.version;
  read.key_value.value[fields::chunk_size] = chunk_size(limits().value_kb);
  read.key_value.value[fields::chunk_layout] = job->chunk_layout + 1;
  transaction.writes.push_back({keys::job(id), std::move(read.key_value.value), 0});
  if (!co_await commit_(std::move(transaction), stop_token)) co_return false;
  spdlog::info("rechunked job {} into chunks of {} tasks", id, chunk_size(limits().value_kb));
  requested_.erase(id);
  progress_ = {};
  co_return true;
}

}  // namespace damsonport
