#include "coordination/api/submission_batcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace damsonport {

namespace {

/// Maximum time for which run() waits for a submission before it checks the stop token again.
constexpr double idle_wait_s = 60;
/// Maximum body size of one transaction, well below the limit of the key-value store.
constexpr size_t max_transaction_bytes = size_t{48} * 1024;
/// Upper bounds of the size of a job's record without its machine types, and of each machine type.
constexpr size_t record_bytes = 1024;
constexpr size_t machine_type_bytes = 210;

size_t estimated_bytes(const JobSpec& spec) {
  return record_bytes + spec.types.size() * machine_type_bytes;
}

bool is_precondition_failed(const TransactionResult& result, const std::string& job) {
  return std::any_of(result.failed_keys.begin(), result.failed_keys.end(),
                     [&](const std::string& key) {
                       return key == keys::job(job) || key == keys::final_state(job);
                     });
}

}  // namespace

SubmissionBatcher::SubmissionBatcher(Loop& loop, const Settings& settings, KeyValueClient& store,
                                     RecordCache& cache)
    : settings_(settings), store_(store), cache_(cache), queue_(loop) {}

Task<void> SubmissionBatcher::run(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    if (queue_.empty()) {
      co_await queue_.wait_for_arrival(idle_wait_s, stop_token);
      if (queue_.empty()) continue;
    }
    co_await commit(take_batch());
  }
}

// Removes as many pending submissions from the queue as fit into one transaction, in their order.
SubmissionBatcher::Batch SubmissionBatcher::take_batch() {
  const auto max_writes = static_cast<size_t>(settings_.state_limits.minimum().txn_writes);
  auto& pending = queue_.entries();
  Batch batch;
  std::set<std::string> ids;
  size_t bytes = 0;
  for (auto it = pending.begin(); it != pending.end() && batch.size() < max_writes;) {
    auto* entry = *it;
    const size_t size = estimated_bytes(entry->request);
    // The second of two submissions of the same job waits for the next transaction.
    if (bytes + size > max_transaction_bytes || !ids.insert(entry->request.id).second) {
      ++it;
      continue;
    }
    bytes += size;
    batch.push_back(entry);
    it = pending.erase(it);
  }
  return batch;
}

// Returns a transaction that creates the records of the batch if none of the jobs is recorded or
// has ended.
Transaction SubmissionBatcher::transaction_for(const Batch& batch) const {
  const uint32_t chunk = chunk_size(settings_.state_limits.minimum().value_kb);
  Transaction transaction;
  for (auto* entry : batch) {
    const JobSpec& spec = entry->request;
    transaction.preconditions[keys::job(spec.id)] = 0;
    transaction.preconditions[keys::final_state(spec.id)] = 0;
    transaction.writes.push_back({keys::job(spec.id), encode_job_record(spec, chunk), 0});
  }
  return transaction;
}

Task<void> SubmissionBatcher::commit(Batch batch) {
  while (!batch.empty()) {
    Transaction transaction = transaction_for(batch);
    auto writes = transaction.writes;
    auto result =
        co_await store_.compare_and_swap(std::move(transaction), RequestPriority::accepting);
    if (result.outcome == TransactionOutcome::conflict && !result.failed_keys.empty()) {
      // The jobs whose preconditions failed are already known; the other jobs are retried.
      const auto first_known =
          std::stable_partition(batch.begin(), batch.end(), [&](const Queue::Entry* entry) {
            return !is_precondition_failed(result, entry->request.id);
          });
      Batch known(first_known, batch.end());
      batch.erase(first_known, batch.end());
      if (known.empty()) std::swap(known, batch);
      resolve_all(known, SubmissionOutcome::already_known);
      continue;
    }
    // After an indefinite result the users don't have to wait for another attempt: they may submit
    // the same id again.
    const bool committed = result.outcome == TransactionOutcome::committed;
    if (committed) {
      cache_.apply_writes(writes, result.revision);
      for (auto* entry : batch) {
        const JobSpec& spec = entry->request;
        spdlog::debug("accepted {}: {} x {} of {}", spec.id, spec.tasks, spec.job_class, spec.team);
      }
    }
    resolve_all(batch, committed ? SubmissionOutcome::accepted : SubmissionOutcome::unavailable);
    co_return;
  }
}

void SubmissionBatcher::resolve_all(const Batch& batch, SubmissionOutcome outcome) {
  for (auto* entry : batch) entry->resolve(outcome);
}

}  // namespace damsonport
