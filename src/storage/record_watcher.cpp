#include "storage/record_watcher.hpp"

#include <spdlog/spdlog.h>

namespace damsonport {

namespace {
// Time for which the store holds a watch request open when nothing changes.
constexpr double watch_wait_s = 10;
}  // namespace

void RecordWatcher::notify() const {
  if (cache_.events().on_change) cache_.events().on_change(nullptr);
}

Task<bool> RecordWatcher::pause_after_failure(std::stop_token stop_token) {
  if (auto times = warning_.record("unreadable", loop_.now()))
    spdlog::warn("the key-value store can't be read yet ({} times)", *times);
  co_return co_await Sleep(loop_, loop_.uniform(0.1, 0.4), stop_token);
}

Task<bool> RecordWatcher::load(std::stop_token stop_token) {
  std::string after;
  std::optional<uint64_t> first_revision;
  double listing_started_at = 0;
  std::set<std::string> listing;
  for (;;) {
    if (!first_revision) listing_started_at = loop_.now();
    auto page = co_await store_.range(keys::cached_prefix, after, RequestPriority::scheduling);
    if (page.status != ReadStatus::ok) {
      if (!co_await pause_after_failure(stop_token)) co_return false;
      continue;
    }
    // The watch starts at the revision of the first page, so that it returns the changes that were
    // made while the other pages were read.
    if (!first_revision) first_revision = page.revision;
    for (auto& key_value : page.key_values) {
      listing.insert(key_value.key);
      cache_.apply(key_value);
      after = key_value.key;
    }
    if (!page.has_more || page.key_values.empty()) break;
  }
  remove_missing(listing, *first_revision);
  warning_.clear();
  cache_.set_loaded(*first_revision, listing_started_at);
  co_return true;
}

// Removes the cached records that are missing from the listing: they were removed from the store
// while the watch was interrupted.
void RecordWatcher::remove_missing(const std::set<std::string>& listing, uint64_t revision) {
  for (auto& key : cache_.keys_missing_from(listing, revision))
    cache_.apply({key, Json(), revision, 0});
}

void RecordWatcher::apply_changes(const WatchResult& result, double opened_at) {
  // All changes of one transaction have the same revision, so the revision advances only after all
  // changes were applied.
  for (auto& change : result.changes) cache_.apply(change);
  cache_.advance(result.revision, opened_at);
  if (!result.changes.empty()) notify();
}

Task<void> RecordWatcher::run(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    if (!cache_.loaded()) {
      if (!co_await load(stop_token)) co_return;
      spdlog::info("records loaded up to revision {}: {} jobs", cache_.revision(),
                   cache_.jobs().size());
      notify();
    }
    const double opened_at = loop_.now();
    const auto result = co_await store_.watch(keys::cached_prefix, cache_.revision(), watch_wait_s);
    if (stop_token.stop_requested()) co_return;
    const bool ok = result.status == ReadStatus::ok;
    if (ok) apply_changes(result, opened_at);
    if (result.status == ReadStatus::compacted) {
      spdlog::info("the watch fell behind at revision {}: reading all records again",
                   cache_.revision());
      cache_.mark_not_loaded();
    }
    // The interval makes changes that are made close together arrive in one response.
    const double interval_s = ok ? min_watch_interval_s_ : loop_.uniform(0.1, 0.3);
    const double pause_s = opened_at + interval_s - loop_.now();
    if (pause_s > 0 && !co_await Sleep(loop_, pause_s, stop_token)) co_return;
  }
}

}  // namespace damsonport
