#include "coordination/api/version_confirmer.hpp"

#include <algorithm>

#include "storage/records.hpp"

namespace damsonport {

namespace {

/// Maximum time for which run() waits for a check before it checks the stop token again.
constexpr double idle_wait_s = 60;
/// Checks that arrive within this time after the first one share its transaction.
constexpr double batching_delay_s = 0.02;
constexpr size_t max_pending = 256;
/// The version of the record and, for version 0, the absence of a final state.
constexpr size_t max_conditions_per_check = 2;

bool is_precondition_failed(const TransactionResult& result, const std::string& key) {
  return std::find(result.failed_keys.begin(), result.failed_keys.end(), key) !=
         result.failed_keys.end();
}

}  // namespace

VersionConfirmer::VersionConfirmer(Loop& loop, const Settings& settings, KeyValueClient& store)
    : loop_(loop),
      store_(store),
      max_conditions_(static_cast<size_t>(settings.state_limits.minimum().txn_conditions())),
      queue_(loop) {}

bool VersionConfirmer::is_full() const { return queue_.size() >= max_pending; }

Task<void> VersionConfirmer::run(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    if (queue_.empty()) {
      co_await queue_.wait_for_arrival(idle_wait_s, stop_token);
      if (!co_await Sleep(loop_, batching_delay_s, stop_token)) break;
      if (queue_.empty()) continue;
    }
    PreparedBatch batch = take_batch();
    const auto result =
        co_await store_.compare_and_swap(std::move(batch.transaction), RequestPriority::polling);
    const Batch unresolved = resolve(batch.checks, result);
    batch.deferred.insert(batch.deferred.end(), unresolved.begin(), unresolved.end());
    queue_.push_front(batch.deferred);
  }
}

VersionConfirmer::PreparedBatch VersionConfirmer::take_batch() {
  PreparedBatch batch;
  auto& preconditions = batch.transaction.preconditions;
  auto& pending = queue_.entries();
  while (!pending.empty() && preconditions.size() + max_conditions_per_check <= max_conditions_) {
    auto* entry = pending.front();
    pending.pop_front();
    const auto& [job, version] = entry->request;
    // One transaction can confirm only one version of a job. If the cache changed between two
    // checks of a job, the second check is deferred to the next transaction.
    const auto [condition, inserted] = preconditions.try_emplace(keys::job(job), version);
    if (!inserted && condition->second != version) {
      batch.deferred.push_back(entry);
      continue;
    }
    batch.checks.push_back(entry);
    if (version == 0) preconditions[keys::final_state(job)] = 0;
  }
  return batch;
}

VersionConfirmer::Batch VersionConfirmer::resolve(const Batch& checks,
                                                  const TransactionResult& result) {
  Batch unresolved;
  for (auto* entry : checks) {
    const std::string& job = entry->request.job;
    if (result.outcome == TransactionOutcome::committed) {
      entry->resolve(Confirmation::confirmed);
    } else if (result.outcome != TransactionOutcome::conflict) {
      entry->resolve(Confirmation::unavailable);
    } else if (result.failed_keys.empty() || is_precondition_failed(result, keys::job(job)) ||
               is_precondition_failed(result, keys::final_state(job))) {
      entry->resolve(Confirmation::changed);
    } else {
      // A conflict need not list every failed precondition, so the checks without a listed one are
      // undecided and repeated. Each transaction resolves at least one check.
      unresolved.push_back(entry);
    }
  }
  return unresolved;
}

}  // namespace damsonport
