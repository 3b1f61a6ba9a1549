#include "coordination/leadership/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport {

Election::Election(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
                   uint64_t incarnation, Notification& changed)
    : loop_(loop),
      settings_(settings),
      store_(store),
      cache_(cache),
      incarnation_(incarnation),
      changed_(changed),
      // Well inside the workers' lease, so that a dead leader costs no tasks, and long enough for a
      // slow answer or two. Rare reports are no reason to wait longer for its successor.
      ttl_s_(std::max(std::min(settings.heartbeat_interval_s * 1.5, settings.lease_s / 6),
                      settings.lease_s / 8)) {}

Task<void> Election::run(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    if (!cache_.loaded()) {
      if (!co_await Sleep(loop_, 0.1, stop_token)) co_return;
      continue;
    }
    bool mine = cache_.has_leader() && cache_.leader().controller == settings_.controller_name;
    if (is_leading_ && (!mine || cache_.leader().incarnation != incarnation_)) {
      spdlog::info("leadership lost to {}",
                   cache_.has_leader() ? cache_.leader().controller : "nobody");
      is_leading_ = false;
      lease_.reset();
      changed_.notify();
    }
    if (is_backing_off()) {
      if (is_leading_ && lease_) co_await store_.revoke_lease(*lease_);
      is_leading_ = false;
      lease_.reset();
      if (!co_await Sleep(loop_, ttl_s_ / 3.5, stop_token)) co_return;
      continue;
    }
    if (is_leading_) {
      auto renewal = co_await store_.renew_lease(*lease_);
      if (renewal == KeyValueClient::Renewal::ended) {
        spdlog::warn("the leader's lease ended");
        is_leading_ = false;
        lease_.reset();
        changed_.notify();
      }
      if (!co_await Sleep(loop_, ttl_s_ / 3.5, stop_token)) co_return;
      continue;
    }
    // A restarted node need not wait for the key of its earlier life to run out.
    if (!cache_.has_leader() || mine) co_await campaign(stop_token);
    if (!is_leading_ && !co_await Sleep(loop_, ttl_s_ / 10 * loop_.uniform(0.5, 1.5), stop_token))
      co_return;
  }
}

Task<void> Election::campaign(std::stop_token stop_token) {
  // Decided on what stands now: if a key appears while the lease is asked for, ours must lose.
  const uint64_t replaced = cache_.has_leader() ? cache_.leader_version() : 0;
  // A new lease for each try: one left from an earlier try would be about to end, and the key with
  // it, while this node still believed to lead.
  lease_ = co_await store_.grant_lease(ttl_s_);
  if (!lease_ || stop_token.stop_requested()) co_return;
  Transaction transaction;
  transaction.preconditions[keys::leader] = replaced;
  transaction.writes.push_back(
      {keys::leader, encode_leader({settings_.controller_name, incarnation_}), *lease_});
  auto writes = transaction.writes;
  auto reply = co_await store_.compare_and_swap(std::move(transaction), RequestPriority::lease);
  if (reply.outcome == TransactionOutcome::committed) {
    cache_.apply_writes(writes, reply.revision);
    is_leading_ = true;
    spdlog::info("elected leader at revision {}", reply.revision);
    changed_.notify();
  } else if (reply.outcome == TransactionOutcome::conflict ||
             reply.outcome == TransactionOutcome::unknown) {
    // Somebody was faster, or our own lost message was: read what stands there.
    auto read = co_await store_.get(keys::leader, RequestPriority::lease);
    if (read.found()) {
      cache_.apply(read.key_value);
      auto& l = cache_.leader();
      if (l.controller == settings_.controller_name && l.incarnation == incarnation_) {
        is_leading_ = true;
        changed_.notify();
      }
    }
  }
}

}  // namespace damsonport
