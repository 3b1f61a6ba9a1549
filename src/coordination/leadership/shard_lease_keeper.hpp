/// Acquires, renews and gives up this controller's shard lease.
///
/// One value in the key-value store, the shard table, contains the lease of the controller that
/// leads the shard. The cluster leader replaces the lease of another controller by its own, and
/// then renews its own. The fencing token of a lease is the revision of the shard table that it
/// replaced; tokens are unique and increasing, because no revision occurs twice. A renewal replaces
/// a shard table too, and on request raises the lease's token to the revision of that table, which
/// is still lower than the token of any later lease.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>

#include "config/settings.hpp"
#include "coordination/leadership/election.hpp"
#include "coordination/leadership/peer_network.hpp"
#include "coordination/machines/fencing_tokens.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Whether this controller leads the shard.
enum class ShardRole : uint8_t { follower, leader };

/// Owned by the ShardLeader. Keeps the shard lease while this controller may hold it.
///
/// Invariants:
/// - fencing_token() is the token of the latest lease acquired, and becomes 0 with the renew() that
///   finds the lease gone. The lease may be lost some time before that: see is_leading().
/// - A token is used only after the commit of the shard table that names it is known here.
/// - Callbacks::on_acquired runs before anything else can act under a new fencing token.
///
/// Only one coroutine calls renew(), and only renew() changes the lease.
class ShardLeaseKeeper {
 public:
  /// All references have to outlive the keeper.
  struct Dependencies {
    Loop& loop;
    const Settings& settings;
    KeyValueClient& store;
    RecordCache& cache;
    Election& election;
    PeerNetwork& peer_network;
    uint64_t incarnation;  ///< of this process
  };
  /// Called by renew() when the state of the lease changes.
  struct Callbacks {
    /// A lease with a new fencing token is held.
    std::function<void()> on_acquired;
    /// The lease has gone to another controller.
    std::function<void()> on_lost;
    /// The newest token of the lease held is higher than before.
    std::function<void()> on_token_raised;
  };

  ShardLeaseKeeper(Dependencies dependencies, Callbacks callbacks)
      : deps_(dependencies), callbacks_(std::move(callbacks)) {}

  /// Updates the state of the lease from the records, and calls the callbacks if it was acquired or
  /// lost. If this controller is the cluster leader, then acquires the lease, or renews it when
  /// due, with one compare-and-swap on the shard table. Returns whether this controller leads the
  /// shard.
  [[nodiscard]] Task<ShardRole> renew(std::stop_token stop_token);

  /// Whether the shard table contains a lease of this process, as far as is known here.
  bool is_leading() const { return tokens_.first != 0 && own_lease() != nullptr; }
  /// Whether a peer reports a newer lease. This controller's lease is then over, even if the shard
  /// table in the cache still contains it.
  bool is_deposed() const;
  /// Whether this controller is both cluster leader and shard leader, and so manages the machines
  /// of the cloud.
  bool leads_cluster_and_shard() const;
  /// Whether the cache holds every record up to the start of the lease.
  bool records_current() const;
  /// The token with which the lease was acquired; it identifies the lease.
  uint64_t fencing_token() const { return tokens_.first; }
  /// All tokens of the lease. They are raised by renewals, on request.
  const FencingTokens& tokens() const { return tokens_; }
  /// When the newest token is to be raised: with the next renewal, or as soon as a renewal is
  /// allowed.
  enum class TokenUrgency : uint8_t { with_next_renewal, at_once };
  /// Requests a higher newest token. Callbacks::on_token_raised follows.
  void request_higher_token(TokenUrgency urgency);
  /// Steady time at which the latest lease was acquired.
  double acquired_at() const { return acquired_at_; }

  /// Gives up cluster leadership when more machines reach another controller than this one, so that
  /// a controller which they reach takes over. Keeps it while they reach no other controller
  /// either, since that would gain nothing. `reachable_machines`: see heartbeat_recency_s().
  void step_down_if_unreachable(size_t reachable_machines);
  /// Seconds for which a machine counts as reaching this controller after a heartbeat.
  double heartbeat_recency_s() const;

 private:
  const ShardLease* own_lease() const;
  void note_acquired();
  void note_raised();
  void apply_own_lease(const ShardLease& own);
  bool is_renewal_due() const;
  Transaction renewal_transaction() const;
  Task<void> reread_records();

  const Dependencies deps_;
  const Callbacks callbacks_;
  FencingTokens tokens_;
  std::optional<TokenUrgency> requested_token_;  ///< unset: no higher token is requested
  uint64_t required_revision_ = 0;               ///< See records_current().
  double acquired_at_ = 0;
  double next_renewal_at_ = 0;
  double earliest_renewal_at_ = 0;
  /// Since when more machines have reached another controller than this one.
  std::optional<double> unreachable_since_;
};

}  // namespace damsonport
