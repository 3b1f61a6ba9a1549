#include "coordination/leadership/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport {

namespace {

constexpr double renewals_per_ttl = 3.5;  // two in a row may fail
constexpr double campaigns_per_ttl = 10;
constexpr double load_poll_interval_s = 0.1;

// The TTL is well below the workers' leases, so that a failed leader costs no tasks, and long
// enough for one or two slow answers of the store. If heartbeats are rare, the lease still bounds
// the TTL, so that a successor is not elected later than necessary.
double lease_ttl_s(const Settings& settings) {
  constexpr double ttl_heartbeat_intervals = 1.5;
  constexpr double max_ttls_per_lease = 8;
  constexpr double min_ttls_per_lease = 6;
  const double preferred_s = std::min(settings.heartbeat_interval_s * ttl_heartbeat_intervals,
                                      settings.lease_s / min_ttls_per_lease);
  return std::max(preferred_s, settings.lease_s / max_ttls_per_lease);
}

}  // namespace

Election::Election(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
                   uint64_t incarnation, Notification& changed)
    : loop_(loop),
      settings_(settings),
      store_(store),
      cache_(cache),
      incarnation_(incarnation),
      changed_(changed),
      ttl_s_(lease_ttl_s(settings)) {}

bool Election::record_names_us() const {
  return cache_.has_leader() && cache_.leader().controller == settings_.controller_name;
}

bool Election::holds_record() const {
  return record_names_us() && cache_.leader().incarnation == incarnation_;
}

void Election::stop_leading() {
  is_leading_ = false;
  lease_.reset();
}

Task<void> Election::run(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    if (!cache_.loaded()) {
      if (!co_await Sleep(loop_, load_poll_interval_s, stop_token)) co_return;
      continue;
    }
    note_lost_leadership();
    double pause_s = ttl_s_ / renewals_per_ttl;
    if (is_backing_off()) {
      co_await resign();
    } else if (is_leading_) {
      co_await renew();
    } else {
      // A restarted controller need not wait until the record of its earlier incarnation expires.
      if (!cache_.has_leader() || record_names_us()) co_await campaign(stop_token);
      if (is_leading_) continue;
      pause_s = ttl_s_ / campaigns_per_ttl * loop_.uniform(0.5, 1.5);
    }
    if (!co_await Sleep(loop_, pause_s, stop_token)) co_return;
  }
}

void Election::note_lost_leadership() {
  if (!is_leading_ || holds_record()) return;
  spdlog::info("leadership lost to {}",
               cache_.has_leader() ? cache_.leader().controller : "nobody");
  stop_leading();
  changed_.notify();
}

Task<void> Election::resign() {
  if (is_leading_ && lease_) co_await store_.revoke_lease(*lease_);
  stop_leading();
}

Task<void> Election::renew() {
  if (!lease_) co_return;  // does not occur while leading
  const auto renewal = co_await store_.renew_lease(*lease_);
  if (renewal != KeyValueClient::Renewal::ended) co_return;
  spdlog::warn("the leader's lease ended");
  stop_leading();
  changed_.notify();
}

Task<void> Election::campaign(std::stop_token stop_token) {
  // The version is taken before the lease is granted: if another record appears meanwhile, ours
  // must not replace it.
  const uint64_t replaced = cache_.has_leader() ? cache_.leader_version() : 0;
  // Each attempt uses a new lease. The lease of an earlier attempt may be about to expire, which
  // would remove the record while this controller still believed that it was leading.
  lease_ = co_await store_.grant_lease(ttl_s_);
  if (!lease_ || stop_token.stop_requested()) co_return;
  Transaction transaction;
  transaction.preconditions[keys::leader] = replaced;
  transaction.writes.push_back(
      {keys::leader, encode_leader({settings_.controller_name, incarnation_}), *lease_});
  const auto writes = transaction.writes;
  const auto result =
      co_await store_.compare_and_swap(std::move(transaction), RequestPriority::lease);
  if (result.outcome == TransactionOutcome::committed) {
    cache_.apply_writes(writes, result.revision);
    is_leading_ = true;
    spdlog::info("elected leader at revision {}", result.revision);
    changed_.notify();
  } else if (result.outcome == TransactionOutcome::conflict ||
             result.outcome == TransactionOutcome::unknown) {
    co_await adopt_existing_record();
  }
}

// Called after a conflict or an unknown outcome: the record is another controller's, or it is ours
// and only the answer to the transaction was lost.
Task<void> Election::adopt_existing_record() {
  const auto read = co_await store_.get(keys::leader, RequestPriority::lease);
  if (!read.found()) co_return;
  cache_.apply(read.key_value);
  const LeaderRecord& leader = cache_.leader();
  if (leader.controller != settings_.controller_name || leader.incarnation != incarnation_)
    co_return;
  is_leading_ = true;
  changed_.notify();
}

}  // namespace damsonport
