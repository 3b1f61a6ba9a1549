// The leader's key: attached to a lease of the state service, so that it goes with its owner.
#pragma once
#include "config/settings.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

class Election {
 public:
  Election(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
           uint64_t incarnation, Notification& changed);
  Task<void> run(std::stop_token stop_token);
  // Our key stands, as far as is known. Also asked of the cache: after a conflict the key of a
  // successor is known there first, and writing on its version would be leading in its name.
  bool is_leading() const {
    return is_leading_ && !is_backing_off() && cache_.has_leader() &&
           cache_.leader().controller == settings_.controller_name &&
           cache_.leader().incarnation == incarnation_;
  }

  // Gives the key up, for others to take; not to be sought again for a while.
  void step_down() { stepped_down_at_ = loop_.now(); }

 private:
  Task<void> campaign(std::stop_token stop_token);
  bool is_backing_off() const { return loop_.now() - stepped_down_at_ < settings_.lease_s; }
  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  uint64_t incarnation_;
  Notification& changed_;
  double ttl_s_;
  std::optional<uint64_t> lease_;
  bool is_leading_ = false;
  double stepped_down_at_ = -1e9;
};

}  // namespace damsonport
