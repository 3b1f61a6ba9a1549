/// Writes the records of submitted jobs to the key-value store, several per transaction.
#pragma once
#include <vector>

#include "config/settings.hpp"
#include "coordination/api/pending_queue.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

enum class SubmissionOutcome : uint8_t {
  unavailable,    ///< unknown whether the job was recorded: the user may submit the same id again
  accepted,       ///< this submission created the job's record
  already_known,  ///< the job was recorded before, or has ended already
};

/// Batches submissions that arrive close together into shared transactions.
///
/// Owns the submissions that wait for their transaction; the background task run() is the only
/// consumer. Handlers use submit() from any coroutine of the event loop.
class SubmissionBatcher {
 public:
  SubmissionBatcher(Loop& loop, const Settings& settings, KeyValueClient& store,
                    RecordCache& cache);

  /// Awaitable: yields the SubmissionOutcome once the job's transaction is resolved.
  auto submit(JobSpec spec) { return queue_.push(std::move(spec)); }
  /// Background task: writes what waits until the token is stopped.
  Task<void> run(std::stop_token stop_token);
  /// Submissions that wait and are in no transaction yet.
  size_t pending() const { return queue_.size(); }

 private:
  using Queue = PendingQueue<JobSpec, SubmissionOutcome>;
  using Batch = std::vector<Queue::Entry*>;

  Batch take_batch();
  Transaction transaction_for(const Batch& batch) const;
  Task<void> commit(Batch batch);
  static void resolve_all(const Batch& batch, SubmissionOutcome outcome);

  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  Queue queue_;
};

}  // namespace damsonport
