/// Confirms that this controller's cached records of jobs are current, many jobs per transaction.
#pragma once
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "coordination/api/pending_queue.hpp"
#include "storage/key_value_client.hpp"

namespace damsonport {

/// Outcome of VersionConfirmer::confirm().
enum class Confirmation : uint8_t {
  unavailable,  ///< the key-value store gave no definite result
  confirmed,    ///< the record had the expected version after the call
  changed,      ///< the record had another version; look it up again
};

/// Batches the version checks of status requests into transactions that only compare.
///
/// Owns the queue of pending checks; the background task run() is its only consumer. Handlers may
/// call confirm() from any coroutine of the event loop. The objects passed to the constructor must
/// outlive the confirmer.
class VersionConfirmer {
 public:
  VersionConfirmer(Loop& loop, const Settings& settings, KeyValueClient& store);

  /// Awaitable that returns whether the record of `job` has this version. Version 0 means that the
  /// job is neither recorded nor ended.
  auto confirm(std::string job, uint64_t version) { return queue_.push({std::move(job), version}); }
  /// Whether too many checks are pending for another one to be added now.
  bool is_full() const;
  /// Background task that confirms pending checks until a stop is requested.
  Task<void> run(std::stop_token stop_token);

 private:
  struct Check {
    std::string job;
    uint64_t version = 0;
  };
  using Queue = PendingQueue<Check, Confirmation>;
  using Batch = std::vector<Queue::Entry*>;
  struct PreparedBatch {
    Transaction transaction;
    Batch checks;
    Batch deferred;  // checks that conflict with others of the transaction
  };

  PreparedBatch take_batch();
  /// Resolves the checks that the result decides, and returns the others.
  static Batch resolve(const Batch& checks, const TransactionResult& result);

  Loop& loop_;
  KeyValueClient& store_;
  size_t max_conditions_;
  Queue queue_;
};

}  // namespace damsonport
