/// Forwards exits of tasks, reported by machines that can't reach the shard leader, to the shard
/// leader through a record in the key-value store.
///
/// In a partition a machine sends its heartbeats to a controller on its side, which renews the
/// worker's lease under a fencing token of the shard leader's lease (LeaseRenewal). Within the
/// agent epoch of such a heartbeat its exits stay true: the worker keeps an exited attempt until
/// the shard leader sends the command to remove it, and a late copy of the start has no effect
/// (Machine::may_remove()). In the next epoch the worker has forgotten the attempt, and the shard
/// leader may have started it again. Each exit is therefore recorded with the epoch, and the shard
/// leader decides whether it still counts (proves_exit()). Nothing else in the heartbeat is
/// forwarded.
#pragma once
#include <map>
#include <set>
#include <string>

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

  /// Adds the exits in a heartbeat to the record. `fencing_token`: the first one of a shard lease,
  /// of which the worker has learned a token. Exits that are committed already are left out, and so
  /// is a heartbeat of an earlier token or of an earlier agent epoch of the machine than one seen
  /// before. Exits noted under an earlier token, or in an earlier epoch of the machine, are
  /// discarded.
  void forward(uint64_t fencing_token, const Heartbeat& heartbeat);
  /// Keeps the record up to date, until stopped. Exits that the shard leader has committed are
  /// removed from it, and so are the exits of a machine that has not repeated them here for the
  /// duration of a worker's lease: by then either another controller has received them, or the
  /// machine's agent epoch is over.
  Task<void> run(std::stop_token stop_token);

 private:
  // The exits that one machine has reported in one agent epoch.
  struct ReportedExits {
    uint64_t agent_epoch = 0;
    double reported_at = 0;  // steady time of the last heartbeat with them, seconds
    std::set<ForwardedExit> exits;
  };
  // Whether the records still place the attempt on the machine.
  bool is_uncommitted(const ForwardedExit& exit) const;
  void forget_committed_and_old();
  ForwardedExits next_record() const;
  bool is_recorded(const ForwardedExits& record) const;
  Task<void> write(ForwardedExits record);

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  Notification changed_;
  uint64_t fencing_token_ = 0;  // the highest one seen, to which `reported_` belongs
  std::map<std::string, ReportedExits> reported_;  // by machine
};

}  // namespace damsonport
