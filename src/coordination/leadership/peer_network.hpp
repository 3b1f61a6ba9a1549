/// Exchanges heartbeats between the controllers of a region.
///
/// Heartbeats carry hints that need not be current: which controllers are alive and reach the
/// key-value store, which one leads the shard, and which jobs are cancelled. From its peers'
/// heartbeats a controller can distinguish an outage of the store for all controllers from a loss
/// of only its own connection.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "coordination/leadership/cancellation_gossip.hpp"
#include "protocol/peer_heartbeat.hpp"
#include "storage/steady_time.hpp"
#include "transport/network.hpp"

namespace damsonport {

/// Owned by the controller. The coroutine send_heartbeats() sends, and the listener's callback
/// receives; both run on the loop's thread.
class PeerNetwork {
 public:
  /// Opens the listener and the links to the peers. All references except `settings` have to
  /// outlive the object.
  PeerNetwork(Loop& loop, Network& network, const Settings& settings,
              CancellationGossip& cancellations);
  /// False: the address for peers can't be listened on.
  bool listening() const { return listener_ && listener_->listening(); }

  /// Sends heartbeats until stopped. `make_heartbeat` returns the part that is the same for all
  /// peers.
  Task<void> send_heartbeats(std::function<PeerHeartbeat()> make_heartbeat,
                             std::stop_token stop_token);
  /// Sends the next heartbeats without waiting for the end of the interval.
  void wake() { wake_.notify(); }
  /// Called when a peer reports a job as cancelled for the first time.
  std::function<void(const std::string& job)> on_cancelled;

  /// Whether a heartbeat of this peer was received within the last few intervals.
  bool is_alive(const std::string& controller) const;
  /// Seconds since this peer's last heartbeat; infinite if it has sent none, or if the controller
  /// is not a peer.
  double since_last_heartbeat_s(const std::string& controller) const;
  /// Number of peers that are not alive.
  int unreachable_peers() const;
  /// Whether no peer is alive.
  bool is_isolated() const { return unreachable_peers() == static_cast<int>(peers_.size()); }
  /// Whether some live peer had contact with the key-value store within the last `max_age_s`
  /// seconds.
  bool any_peer_reaches_store(double max_age_s) const;
  /// Sum of the writes per second that the live peers want to make.
  uint64_t wanted_writes() const;
  /// The highest number of machines that any live peer reports as misrouted to it.
  uint64_t max_misrouted_machines() const;

  /// A controller that reports a shard lease, and the lease's fencing token.
  struct ShardLeaderClaim {
    std::string controller;
    uint64_t fencing_token = 0;
  };
  /// The live peer that reports the newest shard lease; nothing if no live peer reports one.
  std::optional<ShardLeaderClaim> newest_shard_leader() const;
  /// The fencing token of that lease; 0, which no lease has, if no live peer reports one.
  uint64_t newest_fencing_token() const;

 private:
  struct Peer {
    PeerHeartbeat heartbeat;  // the last one
    double received_at = never;
  };
  // Processes all complete heartbeats at the beginning of `bytes`; returns the number of bytes
  // consumed, or `malformed_input`.
  long receive(std::string_view bytes);
  void process_heartbeat(PeerHeartbeat heartbeat);
  // Calls `use` with the name and the last heartbeat of each live peer.
  template <class Use>
  void for_each_live(Use use) const {
    for (auto& [name, peer] : peers_)
      if (is_alive(name)) use(name, peer.heartbeat);
  }

  Loop& loop_;
  CancellationGossip& cancellations_;
  const double interval_s_;
  Notification wake_;
  std::map<std::string, Peer> peers_;
  std::map<std::string, std::unique_ptr<StreamLink>> links_;
  std::unique_ptr<StreamListener> listener_;
};

}  // namespace damsonport
