/// Exits that this controller learned of from machines of another shard leader, recorded for it.
///
/// In a partition a machine sends its heartbeats to a controller on its side, which renews the
/// worker's lease under the shard leader's fencing token (LeaseRenewal). Such a heartbeat proves an
/// exit to the shard leader just as one that it receives itself: the worker keeps the exited
/// attempt until the shard leader orders it removed, and a late copy of the start has no effect
/// meanwhile. Nothing else of the heartbeat is passed on.
#pragma once
#include <set>

#include "config/settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// One coroutine, run(), writes this controller's record, which no other controller writes.
class ExitForwarder {
 public:
  ExitForwarder(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache)
      : loop_(loop), settings_(settings), store_(store), cache_(cache), changed_(loop) {}

  /// Notes an exit that was reported by a machine which has learned this fencing token.
  void forward(uint64_t fencing_token, const ForwardedExit& exit);
  /// Keeps the record up to date: exits that the shard leader has committed are taken out.
  Task<void> run(std::stop_token stop_token);

 private:
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
  uint64_t fencing_token_ = 0;  // the highest one seen
  std::set<ForwardedExit> exits_;
};

}  // namespace damsonport
