#include "coordination/api/job_status_reader.hpp"

#include "storage/record_encoding.hpp"

namespace damsonport {

namespace {
constexpr int max_attempts = 3;
}

JobStatusReader::JobStatusReader(Loop& loop, const Settings& settings, KeyValueClient& store,
                                 RecordCache& cache)
    : store_(store), cache_(cache), confirmer_(loop, settings, store) {}

Task<JobStatus> JobStatusReader::read(std::string id) {
  for (int attempt = 0; attempt < max_attempts; ++attempt) {
    if (const auto final_state = cache_.final_state(id)) co_return final_status(*final_state);
    Job* job = cache_.job(id);
    if (job && job->cancelled) co_return cached_status(*job);
    if (confirmer_.is_full()) co_return JobStatus{};
    const uint64_t version = job ? job->version : 0;
    // The record may leave the cache meanwhile: `job` is not used after this.
    const Confirmation confirmation = co_await confirmer_.confirm(id, version);
    if (confirmation == Confirmation::unavailable) co_return JobStatus{};
    if (confirmation == Confirmation::confirmed) {
      if (version == 0) co_return JobStatus{JobStatus::State::unknown, {}};
      if (Job* current = cache_.job(id); current && !current->cancelled)
        co_return cached_status(*current);
      continue;
    }
    if (auto status = co_await read_from_store(id)) co_return *status;
  }
  co_return JobStatus{};
}

// For a cached version that was not confirmed: reads that begin after the question. Nothing where
// the cache has to be looked at again.
Task<std::optional<JobStatus>> JobStatusReader::read_from_store(std::string id) {
  const auto final_record = co_await store_.get(keys::final_state(id), RequestPriority::polling);
  if (!final_record.answered()) co_return JobStatus{};
  if (final_record.found()) {
    cache_.remember_final(id, decode_final_state(final_record.key_value.value));
    co_return std::nullopt;
  }
  const auto record = co_await store_.get(keys::job(id), RequestPriority::polling);
  if (!record.answered()) co_return JobStatus{};
  if (!record.found()) co_return std::nullopt;  // ended between the two reads
  // Read just now, so no older than any answer given before the question. The cache itself takes
  // changes only in their order, from the watch.
  if (!decode_job(record.key_value.value)) co_return JobStatus{};
  if (record.key_value.value.value(fields::cancelled, 0) != 0) {
    // Known here before any user is told: the other controllers rely on it.
    cache_.apply(record.key_value);
    co_return JobStatus{JobStatus::State::aborted, {}};
  }
  Job* cached = cache_.job(id);
  if (!cached) co_return JobStatus{JobStatus::State::queued, JobProgress{0, 0}};
  co_return unfinished_status(*cached);
}

}  // namespace damsonport
