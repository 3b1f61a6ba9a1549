/// Keeps the RecordCache up to date: reads all records once, then follows a watch of the store.
#pragma once
#include <set>
#include <string>

#include "storage/key_value_client.hpp"
#include "storage/record_cache.hpp"
#include "transport/warning_limiter.hpp"

namespace damsonport {

/// The watcher of one controller. Its state is used only by the coroutine run(), which is also the
/// only one to advance the revision of the cache.
class RecordWatcher {
 public:
  /// `min_watch_interval_s`: minimum time in seconds between the starts of two watch requests, so
  /// that watching leaves request tokens for other requests. The references must outlive the
  /// watcher.
  RecordWatcher(Loop& loop, KeyValueClient& store, RecordCache& cache, double min_watch_interval_s)
      : loop_(loop), store_(store), cache_(cache), min_watch_interval_s_(min_watch_interval_s) {}

  /// Loads the records and follows the watch until a stop is requested.
  Task<void> run(std::stop_token stop_token);

 private:
  // Reads all records into the cache and repeats requests that fail; false when stopped.
  Task<bool> load(std::stop_token stop_token);
  // Logs the failure and waits; false when stopped.
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
