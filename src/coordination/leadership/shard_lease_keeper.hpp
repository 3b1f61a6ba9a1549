/// The shard lease of this controller: acquiring it, renewing it and giving it up.
///
/// One value in the key-value store, the shard table, says which controller leads the shard. The
/// cluster leader replaces it while it names another controller and renews it while it names this
/// one. The fencing token of a lease is the revision of the table that it replaced: unique and
/// growing, because no revision occurs twice.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>

#include "config/settings.hpp"
#include "coordination/leadership/election.hpp"
#include "coordination/leadership/peer_network.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Whether this controller leads the shard.
enum class ShardRole : uint8_t { follower, leader };

/// Keeps the shard lease while this controller may hold it.
///
/// Invariants:
/// - fencing_token() is that of the latest lease acquired, and 0 from the renewal that finds the
///   lease gone on. In between the lease may be lost already: see is_leading().
/// - Callbacks::on_acquired runs before anything else can act under a new fencing token.
///
/// renew() is called by one coroutine only, and it alone changes the lease.
class ShardLeaseKeeper {
 public:
  struct Dependencies {
    Loop& loop;
    const Settings& settings;
    KeyValueClient& store;
    RecordCache& cache;
    Election& election;
    PeerNetwork& peer_network;
    uint64_t incarnation;  ///< Of this process.
  };
  struct Callbacks {
    /// A lease with a new fencing token is held.
    std::function<void()> on_acquired;
    /// The lease has gone to another controller.
    std::function<void()> on_lost;
  };

  ShardLeaseKeeper(Dependencies dependencies, Callbacks callbacks)
      : deps_(dependencies), callbacks_(std::move(callbacks)) {}

  /// Takes note of what the records say of the lease. The cluster leader then acquires or renews it
  /// when that is due, with one compare-and-swap on the shard table.
  [[nodiscard]] Task<ShardRole> renew(std::stop_token stop_token);

  /// Whether a lease of this process is in the shard table, as far as is known here.
  bool is_leading() const { return fencing_token_ != 0 && own_lease() != nullptr; }
  /// A peer reports a newer lease: ours is over, though the shard table read here may not say so.
  bool is_deposed() const;
  /// Cluster leader and shard leader, so that the cloud's machines are this controller's to manage.
  bool leads_cluster_and_shard() const;
  /// The records are complete up to the start of the lease.
  bool records_current() const;
  uint64_t fencing_token() const { return fencing_token_; }
  /// Steady time.
  double acquired_at() const { return acquired_at_; }

  /// Gives up cluster leadership when more machines reach other controllers than this one, so that
  /// one of those takes over. `reachable_machines`: see heartbeat_recency_s(). Where the machines
  /// reach nobody else either, nothing is gained by it.
  void step_down_if_unreachable(size_t reachable_machines);
  /// Seconds within which a machine counts as reaching this controller after a heartbeat.
  double heartbeat_recency_s() const;

 private:
  const ShardLease* own_lease() const;
  void note_acquired();
  Transaction renewal_transaction() const;
  Task<void> reread_records();

  const Dependencies deps_;
  const Callbacks callbacks_;
  uint64_t fencing_token_ = 0;
  uint64_t required_revision_ = 0;  ///< Records have to be complete up to here.
  double acquired_at_ = 0;
  double next_renewal_at_ = 0;
  std::optional<double> unreachable_since_;
};

}  // namespace damsonport
