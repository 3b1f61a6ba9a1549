#include "coordination/leadership/shard_lease_keeper.hpp"

#include <spdlog/spdlog.h>

#include "transport/crash_report.hpp"

namespace damsonport {

namespace {
/// Renewals per duration of the lease; the rest of the lease has to outlast an outage of the store.
constexpr double renewals_per_lease = 6;
/// Renewals per duration of the lease while a higher token is requested at once.
constexpr double urgent_renewals_per_lease = 30;
/// Pause after a renewal that failed or whose outcome is unknown.
constexpr double renewal_retry_s = 0.2;
/// A healthy machine sends at least one heartbeat in this many heartbeat intervals.
constexpr double heartbeat_recency_intervals = 1.5;
/// For this many heartbeat intervals after a failover, machines still find this controller by way
/// of the other controllers.
constexpr double failover_intervals = 3;
/// Share of the lease for which the machines have to be unreachable before stepping down.
constexpr double unreachable_lease_share = 0.125;
}  // namespace

const ShardLease* ShardLeaseKeeper::own_lease() const {
  for (auto& lease : deps_.cache.shard_table().leases) {
    const bool own = lease.controller == deps_.settings.controller_name &&
                     lease.incarnation == deps_.incarnation;
    if (own) return &lease;
  }
  return nullptr;
}

bool ShardLeaseKeeper::is_deposed() const {
  return tokens_.first != 0 && deps_.peer_network.newest_fencing_token() > tokens_.newest;
}

bool ShardLeaseKeeper::leads_cluster_and_shard() const {
  return is_leading() && !is_deposed() && deps_.election.is_leading();
}

bool ShardLeaseKeeper::records_current() const {
  return deps_.cache.loaded() && deps_.cache.revision() >= required_revision_;
}

void ShardLeaseKeeper::note_acquired() {
  tokens_ = {own_lease()->first_fencing_token(), own_lease()->fencing_token};
  crash_report::set_fencing_token(tokens_.newest);
  requested_token_.reset();
  required_revision_ = deps_.cache.shard_table_version();
  acquired_at_ = deps_.loop.now();
  unreachable_since_.reset();
  callbacks_.on_acquired();
}

void ShardLeaseKeeper::note_raised() {
  tokens_.newest = own_lease()->fencing_token;
  crash_report::set_fencing_token(tokens_.newest);
  requested_token_.reset();
  spdlog::debug("fencing token raised from {} to {}, which rests on revision {} of the shard table",
                tokens_.first, tokens_.newest, deps_.cache.shard_table_version());
  callbacks_.on_token_raised();
}

void ShardLeaseKeeper::apply_own_lease(const ShardLease& own) {
  if (own.first_fencing_token() != tokens_.first) return note_acquired();
  if (own.fencing_token != tokens_.newest) note_raised();
}

void ShardLeaseKeeper::request_higher_token(TokenUrgency urgency) {
  requested_token_ = std::max(requested_token_.value_or(urgency), urgency);
}

bool ShardLeaseKeeper::is_renewal_due() const {
  const double now = deps_.loop.now();
  return now >= next_renewal_at_ ||
         (requested_token_ == TokenUrgency::at_once && now >= earliest_renewal_at_);
}

Transaction ShardLeaseKeeper::renewal_transaction() const {
  const uint64_t replaced = deps_.cache.shard_table_version();
  ShardTable next = deps_.cache.shard_table();
  if (!own_lease()) {
    ShardLease lease;
    lease.controller = deps_.settings.controller_name;
    lease.incarnation = deps_.incarnation;
    // The very first shard table replaces nothing, so its token is the revision of the leader
    // record, which is lower than that of any shard table.
    lease.fencing_token = replaced ? replaced : deps_.cache.leader_version();
    lease.covers_unassigned = true;
    next.leases = {lease};
  } else if (requested_token_) {
    for (auto& lease : next.leases) {
      if (lease.controller != deps_.settings.controller_name) continue;
      lease.acquired_fencing_token = lease.first_fencing_token();
      lease.fencing_token = replaced;
    }
  }
  ++next.renewals;
  Transaction transaction;
  transaction.preconditions[keys::shard_table] = replaced;
  transaction.preconditions[keys::leader] = deps_.cache.leader_version();
  transaction.writes.push_back({keys::shard_table, encode_shard_table(next), 0});
  return transaction;
}

Task<void> ShardLeaseKeeper::reread_records() {
  for (auto& key : {keys::shard_table, keys::leader}) {
    auto read = co_await deps_.store.get(key, RequestPriority::lease);
    if (read.found()) deps_.cache.apply(read.key_value);
  }
}

Task<ShardRole> ShardLeaseKeeper::renew(std::stop_token stop_token) {
  const ShardLease* own = own_lease();
  if (own) apply_own_lease(*own);
  if (!own && tokens_.first != 0) {
    spdlog::info("shard lease with fencing tokens {} to {} lost to another controller",
                 tokens_.first, tokens_.newest);
    tokens_ = {};
    crash_report::set_fencing_token(0);
    callbacks_.on_lost();
  }
  if (!deps_.election.is_leading())
    co_return tokens_.first != 0 ? ShardRole::leader : ShardRole::follower;
  if (own && !is_renewal_due()) co_return ShardRole::leader;

  Transaction transaction = renewal_transaction();
  const auto writes = transaction.writes;
  const double requested_at = deps_.loop.now();
  auto result =
      co_await deps_.store.compare_and_swap(std::move(transaction), RequestPriority::lease);
  if (result.outcome == TransactionOutcome::committed) {
    deps_.cache.apply_writes(writes, result.revision);
    const double lease_s = deps_.settings.tuning.shard_lease_s;
    next_renewal_at_ = requested_at + lease_s / renewals_per_lease;
    earliest_renewal_at_ = requested_at + lease_s / urgent_renewals_per_lease;
    if (const ShardLease* renewed = own_lease()) apply_own_lease(*renewed);
    co_return ShardRole::leader;
  }
  const bool is_table_uncertain = result.outcome == TransactionOutcome::conflict ||
                                  result.outcome == TransactionOutcome::unknown;
  if (is_table_uncertain) co_await reread_records();
  next_renewal_at_ = earliest_renewal_at_ = deps_.loop.now() + renewal_retry_s;
  const bool still_leading = !stop_token.stop_requested() && is_leading();
  co_return still_leading ? ShardRole::leader : ShardRole::follower;
}

double ShardLeaseKeeper::heartbeat_recency_s() const {
  return heartbeat_recency_intervals * deps_.settings.heartbeat_interval_s;
}

void ShardLeaseKeeper::step_down_if_unreachable(size_t reachable_machines) {
  const double now = deps_.loop.now();
  const uint64_t misrouted = deps_.peer_network.max_misrouted_machines();
  const bool failover_over =
      now - acquired_at_ > failover_intervals * deps_.settings.heartbeat_interval_s;
  const bool unreachable = failover_over && misrouted > reachable_machines;
  if (!unreachable || !deps_.election.is_leading()) {
    unreachable_since_.reset();
    return;
  }
  if (!unreachable_since_) unreachable_since_ = now;
  if (now - *unreachable_since_ < deps_.settings.lease_s * unreachable_lease_share) return;
  spdlog::warn("{} machines reach this controller and {} another one: stepping down",
               reachable_machines, misrouted);
  deps_.election.step_down();
  unreachable_since_.reset();
}

}  // namespace damsonport
