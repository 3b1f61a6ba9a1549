/// Elects the cluster leader.
///
/// The leader is the controller that the leader record in the key-value store names. The record is
/// attached to a lease of the store, so the store removes it when its owner stops renewing the
/// lease. Another controller then writes its own record.
#pragma once
#include <optional>

#include "config/settings.hpp"
#include "storage/record_cache.hpp"
#include "storage/steady_time.hpp"

namespace damsonport {

/// Owned by the controller. One coroutine, run(), campaigns and renews the lease; the other
/// functions may be called at any time.
class Election {
 public:
  /// `changed` is notified when leadership is won or lost. All references have to outlive the
  /// election.
  Election(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
           uint64_t incarnation, Notification& changed);

  /// Campaigns while the cluster has no leader, and renews the lease while leading, until stopped.
  Task<void> run(std::stop_token stop_token);

  /// Whether the leader record is this controller's, as far as is known. The cache is checked as
  /// well: after a conflict it contains a successor's record before this class has noticed, and a
  /// write conditional on that record's version would be made in the successor's name.
  bool is_leading() const { return is_leading_ && !is_backing_off() && holds_record(); }

  /// Gives up the leadership, and doesn't campaign again for the duration of a worker's lease.
  void step_down() { stepped_down_at_ = loop_.now(); }

 private:
  Task<void> campaign(std::stop_token stop_token);
  Task<void> adopt_existing_record();
  Task<void> renew();
  Task<void> resign();
  void note_lost_leadership();
  void stop_leading();
  bool is_backing_off() const { return loop_.now() - stepped_down_at_ < settings_.lease_s; }
  // Whether the record names this controller, in this incarnation or an earlier one.
  bool record_names_us() const;
  // Whether the record names this incarnation.
  bool holds_record() const;

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  const uint64_t incarnation_;
  Notification& changed_;
  const double ttl_s_;             // of the record's lease
  std::optional<uint64_t> lease_;  // id in the key-value store
  bool is_leading_ = false;
  double stepped_down_at_ = never;
};

}  // namespace damsonport
