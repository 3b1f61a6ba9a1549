#include "coordination/scheduling/rechunker.hpp"

#include <spdlog/spdlog.h>

#include "storage/rechunk.hpp"

namespace damsonport {

namespace {
constexpr double pause_after_refusal_s = 0.2;
}  // namespace

void Rechunker::clear() {
  to_divide_.clear();
  dividing_ = {};
}

bool Rechunker::must_wait(const Job& job, const TaskChunk& record) {
  if (to_divide_.contains(job.spec.id)) return true;
  if (job.chunk_size <= chunk_size(limits().value_kb)) return false;
  if (chunk_fits(record, limits().value_kb)) return false;
  if (versions_.all_have(VersionRegistry::current)) to_divide_.insert(job.spec.id);
  return true;
}

bool Rechunker::exit_must_wait(const Job& job, uint32_t chunk) {
  // Before all are upgraded the present limits hold, and an end has to be written.
  return must_wait(job, job.chunks.at(chunk).record) && to_divide_.contains(job.spec.id);
}

bool Rechunker::gang_must_wait(const Job& gang) {
  const uint32_t most = chunk_size(limits().value_kb);
  if (gang.chunk_size > most && gang.size_of(0) > most) to_divide_.insert(gang.spec.id);
  return to_divide_.contains(gang.spec.id);
}

void Rechunker::note_refused(const std::vector<Write>& writes) {
  for (auto& write : writes) {
    if (!write.key.starts_with(keys::chunk_prefix)) continue;
    const auto name =
        parse_chunk_name(std::string_view(write.key).substr(keys::chunk_prefix.size()));
    Job* job = name ? cache_.job(name->job) : nullptr;
    if (job && job->chunk_size > chunk_size(limits().value_kb)) to_divide_.insert(job->spec.id);
  }
}

Task<bool> Rechunker::commit_next(std::stop_token stop_token) {
  if (to_divide_.empty()) co_return false;
  const std::string id = *to_divide_.begin();
  Job* job = cache_.job(id);
  if (!job || job->chunk_size <= chunk_size(limits().value_kb)) {
    to_divide_.erase(id);
    co_return false;
  }
  if (dividing_.job != id || dividing_.job_version != job->version)
    dividing_ = {id, job->version, rechunk(*job, chunk_size(limits().value_kb))};
  const bool done = dividing_.to_write.empty() ? co_await commit_new_layout(id, stop_token)
                                               : co_await commit_divided_chunks(id, stop_token);
  if (!done) {
    dividing_ = {};
    co_await Sleep(loop_, pause_after_refusal_s, stop_token);
  }
  co_return true;
}

Task<bool> Rechunker::commit_divided_chunks(std::string id, std::stop_token stop_token) {
  const Job& job = *cache_.job(id);
  Transaction transaction;
  transaction.preconditions[keys::shard_table] = cache_.shard_table_version();
  transaction.preconditions[keys::job(id)] = job.version;
  std::vector<uint32_t> written;
  for (auto& [n, record] : dividing_.to_write) {
    if (static_cast<int>(written.size()) >= limits().txn_writes) break;
    const auto key = keys::chunk(id, n, job.chunk_layout + 1);
    transaction.preconditions[key] = cache_.unattached_version(key);
    transaction.writes.push_back({key, encode_chunk(record), 0});
    written.push_back(n);
  }
  if (!co_await commit_(std::move(transaction), stop_token)) co_return false;
  for (uint32_t n : written) dividing_.to_write.erase(n);
  co_return true;
}

Task<bool> Rechunker::commit_new_layout(std::string id, std::stop_token stop_token) {
  auto read = co_await store_.get(keys::job(id), RequestPriority::scheduling);
  Job* job = cache_.job(id);
  if (!read.found() || !job || read.key_value.version != dividing_.job_version) co_return false;
  Transaction transaction;
  transaction.preconditions[keys::shard_table] = cache_.shard_table_version();
  transaction.preconditions[keys::job(id)] = read.key_value.version;
  read.key_value.value[fields::chunk_size] = chunk_size(limits().value_kb);
  read.key_value.value[fields::chunk_layout] = job->chunk_layout + 1;
  transaction.writes.push_back({keys::job(id), std::move(read.key_value.value), 0});
  if (!co_await commit_(std::move(transaction), stop_token)) co_return false;
  spdlog::info("the tasks of {} are divided into records of {}", id, chunk_size(limits().value_kb));
  to_divide_.erase(id);
  dividing_ = {};
  co_return true;
}

}  // namespace damsonport
