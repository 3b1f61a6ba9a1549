#include "coordination/api/submission_batcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

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

void SubmissionBatcher::apply_committed(const Batch& batch, const std::vector<Write>& writes,
                                        uint64_t revision) {
  cache_.apply_writes(writes, revision);
  for (auto* entry : batch) {
    const JobSpec& spec = entry->request;
    spdlog::debug("accepted {}: {} tasks", spec.id, spec.tasks);
  }
}

// Removes the entries whose preconditions failed; all of them if the result names none of them.
SubmissionBatcher::Batch SubmissionBatcher::take_known(Batch& batch,
                                                       const TransactionResult& result) {
  const auto first_known =
      std::stable_partition(batch.begin(), batch.end(), [&](const Queue::Entry* entry) {
        return !is_precondition_failed(result, entry->request.id);
      });
  Batch known(first_known, batch.end());
  batch.erase(first_known, batch.end());
  if (known.empty()) std::swap(known, batch);
  return known;
}

SubmissionBatcher::Batch SubmissionBatcher::take_second_half(Batch& batch) {
  const auto middle = batch.begin() + static_cast<std::ptrdiff_t>(batch.size() / 2);
  Batch second_half(middle, batch.end());
  batch.erase(middle, batch.end());
  return second_half;
}

// Sends one transaction for the batch and resolves the entries that its result decides. The other
// entries stay in the batch or are returned, for transactions of their own.
Task<SubmissionBatcher::Batch> SubmissionBatcher::commit_or_divide(Batch& batch) {
  Transaction transaction = transaction_for(batch);
  const auto writes = transaction.writes;
  const auto result =
      co_await store_.compare_and_swap(std::move(transaction), RequestPriority::accepting);
  if (result.outcome == TransactionOutcome::conflict && !result.failed_keys.empty()) {
    resolve_all(take_known(batch, result), SubmissionOutcome::already_known);
    co_return Batch{};
  }
  const bool is_malformed = result.outcome == TransactionOutcome::invalid;
  if (is_malformed && batch.size() > 1) co_return take_second_half(batch);
  // After an indefinite result the users don't have to wait for another attempt: they may submit
  // the same id again.
  auto outcome = SubmissionOutcome::unavailable;
  if (is_malformed) outcome = SubmissionOutcome::malformed;
  if (result.outcome == TransactionOutcome::committed) {
    apply_committed(batch, writes, result.revision);
    outcome = SubmissionOutcome::accepted;
  }
  resolve_all(std::exchange(batch, {}), outcome);
  co_return Batch{};
}

// A transaction that the store refuses as malformed is divided until the malformed record is alone,
// so that it doesn't refuse the submissions of other users.
Task<void> SubmissionBatcher::commit(Batch batch) {
  std::vector<Batch> pending;
  pending.push_back(std::move(batch));
  while (!pending.empty()) {
    Batch current = std::move(pending.back());
    pending.pop_back();
    while (!current.empty()) {
      Batch divided = co_await commit_or_divide(current);
      if (!divided.empty()) pending.push_back(std::move(divided));
    }
  }
}

void SubmissionBatcher::resolve_all(const Batch& batch, SubmissionOutcome outcome) {
  for (auto* entry : batch) entry->resolve(outcome);
}

}  // namespace damsonport
