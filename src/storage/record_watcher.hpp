/// Keeps the RecordCache up to date: reads every record once, then follows the store's watch.
#pragma once
#include <set>
#include <string>

#include "storage/key_value_client.hpp"
#include "storage/record_cache.hpp"
#include "transport/warning_limiter.hpp"

namespace damsonport {

/// One coroutine, run(), owns all the state here, and alone moves the cache's revision.
class RecordWatcher {
 public:
  /// `min_watch_interval_s`: between two watch requests, so that they leave requests for other
  /// uses.
  RecordWatcher(Loop& loop, KeyValueClient& store, RecordCache& cache, double min_watch_interval_s)
      : loop_(loop), store_(store), cache_(cache), min_watch_interval_s_(min_watch_interval_s) {}

  /// Loads and follows until stopped.
  Task<void> run(std::stop_token stop_token);

 private:
  // Reads every record into the cache, repeating what fails; false when stopped.
  Task<bool> load(std::stop_token stop_token);
  // False when stopped.
  Task<bool> pause_after_failure(std::stop_token stop_token);
  void remove_missing(const std::set<std::string>& listing, uint64_t revision);
  void apply_changes(const WatchResult& changes, double opened_at);
  void notify() const;

  Loop& loop_;
  KeyValueClient& store_;
  RecordCache& cache_;
  const double min_watch_interval_s_;
  WarningLimiter warning_;
};

}  // namespace damsonport
