/// Confirms that this controller's view of a job is current, many jobs per transaction.
#pragma once
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "coordination/api/pending_queue.hpp"
#include "storage/key_value_client.hpp"

namespace damsonport {

enum class Confirmation : uint8_t {
  unavailable,  ///< the key-value store gave no definite answer
  confirmed,    ///< the job's record had the expected version after the question was put
  changed,      ///< it had another version: the caller looks it up again
};

/// Batches the version checks of status requests into transactions that only compare.
///
/// Owns the checks that wait; the background task run() is the only consumer. Handlers use
/// confirm() from any coroutine of the event loop.
class VersionConfirmer {
 public:
  VersionConfirmer(Loop& loop, const Settings& settings, KeyValueClient& store);

  /// Awaitable: yields the Confirmation that the record of `job` has this version. Version 0: that
  /// the job is neither recorded nor ended.
  auto confirm(std::string job, uint64_t version) { return queue_.push({std::move(job), version}); }
  /// Too many wait: no further check should be added for now.
  bool is_full() const;
  /// Background task: confirms what waits until the token is stopped.
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
    Batch deferred;  // can't share the transaction with the others
  };

  PreparedBatch take_batch();
  /// Resolves what the result tells of; yields the checks of which it tells nothing.
  static Batch resolve(const Batch& checks, const TransactionResult& result);

  Loop& loop_;
  KeyValueClient& store_;
  size_t max_conditions_;
  Queue queue_;
};

}  // namespace damsonport
