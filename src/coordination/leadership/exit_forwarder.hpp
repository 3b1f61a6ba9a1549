/// Forwards exits of tasks, reported by machines that can't reach the shard leader, to the shard
/// leader through a record in the key-value store.
///
/// In a partition a machine sends its heartbeats to a controller on its side, which renews the
/// worker's lease under the shard leader's fencing token (LeaseRenewal). Such a heartbeat proves an
/// exit just as a heartbeat to the shard leader does: the worker keeps the exited attempt until the
/// shard leader sends the command to remove it, and a late copy of the start has no effect
/// meanwhile. Nothing else in the heartbeat is forwarded.
#pragma once
#include <set>

#include "config/settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Owned by the controller. One coroutine, run(), writes this controller's record, which no other
/// controller writes.
class ExitForwarder {
 public:
  /// All references have to outlive the forwarder.
  ExitForwarder(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache)
      : loop_(loop), settings_(settings), store_(store), cache_(cache), changed_(loop) {}

  /// Adds an exit, reported by a machine that has learned this fencing token, to the record.
  /// Ignored if the token is older than one seen before or if the exit is already committed. Exits
  /// noted under an older token are discarded.
  void forward(uint64_t fencing_token, const ForwardedExit& exit);
  /// Keeps the record up to date, until stopped; exits that the shard leader has committed are
  /// removed from it.
  Task<void> run(std::stop_token stop_token);

 private:
  // Whether the records still place the attempt on the machine.
  bool is_uncommitted(const ForwardedExit& exit) const;
  void forget_committed();
  ForwardedExits next_record() const;
  bool is_recorded(const ForwardedExits& record) const;
  Task<void> write(ForwardedExits record);

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  Notification changed_;
  uint64_t fencing_token_ = 0;  // the highest one seen, to which `exits_` belong
  std::set<ForwardedExit> exits_;
};

}  // namespace damsonport
