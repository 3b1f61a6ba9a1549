/// Election of the cluster leader.
///
/// The leader is the controller whose name is in the leader record. The record is attached to a
/// lease of the key-value store, so that it goes when its owner stops renewing the lease; another
/// controller then writes its own.
#pragma once
#include <optional>

#include "config/settings.hpp"
#include "storage/record_cache.hpp"
#include "storage/steady_time.hpp"

namespace damsonport {

/// One coroutine, run(), campaigns and renews; the other functions may be called at any time.
class Election {
 public:
  /// `changed` is notified when leadership is won or lost.
  Election(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
           uint64_t incarnation, Notification& changed);

  Task<void> run(std::stop_token stop_token);

  /// Whether our record stands, as far as is known. The cache is asked as well: after a conflict a
  /// successor's record is known there first, and a write conditional on its version would be made
  /// in the successor's name.
  bool is_leading() const { return is_leading_ && !is_backing_off() && holds_record(); }

  /// Gives up the leadership, and doesn't campaign again for as long as a worker's lease lasts.
  void step_down() { stepped_down_at_ = loop_.now(); }

 private:
  Task<void> campaign(std::stop_token stop_token);
  Task<void> adopt_existing_record();
  Task<void> renew();
  Task<void> resign();
  void note_lost_leadership();
  void stop_leading();
  bool is_backing_off() const { return loop_.now() - stepped_down_at_ < settings_.lease_s; }
  // The record names this controller, in this incarnation or an earlier one.
  bool record_names_us() const;
  bool holds_record() const;

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  const uint64_t incarnation_;
  Notification& changed_;
  const double ttl_s_;  // of the record's lease
  std::optional<uint64_t> lease_;
  bool is_leading_ = false;
  double stepped_down_at_ = never;
};

}  // namespace damsonport
