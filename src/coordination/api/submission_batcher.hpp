/// Writes the records of submitted jobs to the key-value store, several jobs per transaction.
#pragma once
#include <vector>

#include "config/settings.hpp"
#include "coordination/api/pending_queue.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Outcome of SubmissionBatcher::submit().
enum class SubmissionOutcome : uint8_t {
  /// Unknown whether the job was recorded; the user may submit the same id again.
  unavailable,
  accepted,       ///< this submission created the job's record
  already_known,  ///< the job was recorded before or has already ended
  malformed,  ///< the key-value store refuses the job's record as malformed, whenever it is sent
};

/// Batches submissions that arrive close together into shared transactions.
///
/// Owns the queue of pending submissions; the background task run() is its only consumer. Handlers
/// may call submit() from any coroutine of the event loop. The objects passed to the constructor
/// must outlive the batcher.
class SubmissionBatcher {
 public:
  SubmissionBatcher(Loop& loop, const Settings& settings, KeyValueClient& store,
                    RecordCache& cache);

  /// Awaitable that returns the SubmissionOutcome once the job's transaction has ended.
  auto submit(JobSpec spec) { return queue_.push(std::move(spec)); }
  /// Background task that writes pending submissions until a stop is requested.
  Task<void> run(std::stop_token stop_token);
  /// Number of submissions that are in no transaction yet.
  size_t pending() const { return queue_.size(); }

 private:
  using Queue = PendingQueue<JobSpec, SubmissionOutcome>;
  using Batch = std::vector<Queue::Entry*>;

  Batch take_batch();
  Transaction transaction_for(const Batch& batch) const;
  Task<void> commit(Batch batch);
  Task<Batch> commit_or_divide(Batch& batch);
  void apply_committed(const Batch& batch, const std::vector<Write>& writes, uint64_t revision);
  static Batch take_known(Batch& batch, const TransactionResult& result);
  static Batch take_second_half(Batch& batch);
  static void resolve_all(const Batch& batch, SubmissionOutcome outcome);

  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  Queue queue_;
};

}  // namespace damsonport
