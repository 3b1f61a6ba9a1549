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
    // The record may be removed from the cache during the wait, so `job` is not used after it.
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

// Reads the records of a job whose cached version was not confirmed. Returns nullopt if the cache
// has to be read again.
Task<std::optional<JobStatus>> JobStatusReader::read_from_store(std::string id) {
  const auto final_record = co_await store_.get(keys::final_state(id), RequestPriority::polling);
  if (!final_record.answered()) co_return JobStatus{};
  if (final_record.found()) {
    cache_.cache_final_state(id, decode_final_state(final_record.key_value.value));
    co_return std::nullopt;
  }
  const auto record = co_await store_.get(keys::job(id), RequestPriority::polling);
  if (!record.answered()) co_return JobStatus{};
  if (!record.found()) co_return std::nullopt;  // the job ended between the two reads
  // The record was read after the request arrived, so it is not older than any status that was
  // reported before. Except for a cancellation, the cache is not updated from the record, because
  // it applies changes in their order, from the watch.
  if (!decode_job(record.key_value.value)) co_return JobStatus{};
  if (record.key_value.value.value(fields::cancelled, 0) != 0) {
    // The cache must contain the cancellation before a user is told of it, because the other
    // controllers rely on that.
    cache_.apply(record.key_value);
    co_return JobStatus{JobStatus::State::aborted, {}};
  }
  Job* cached = cache_.job(id);
  if (!cached) co_return JobStatus{JobStatus::State::queued, JobProgress{0, 0}};
  co_return unfinished_status(*cached);
}

}  // namespace damsonport
