/// The heartbeats between the controllers of a region.
///
/// They carry hints, never truth: who is alive, who reaches the key-value store, who leads the
/// shard, and which jobs are cancelled. With them a controller tells a shared outage of the store
/// from one of its own.
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

/// One coroutine, send_heartbeats(), sends; the listener's callback receives. Both run in the loop.
class PeerNetwork {
 public:
  PeerNetwork(Loop& loop, Network& network, const Settings& settings,
              CancellationGossip& cancellations);
  bool listening() const { return listener_ && listener_->listening(); }

  /// Sends heartbeats until stopped. `make_heartbeat` gives the part that is the same for
  /// all peers.
  Task<void> send_heartbeats(std::function<PeerHeartbeat()> make_heartbeat,
                             std::stop_token stop_token);
  /// Sends the next heartbeats now.
  void wake() { wake_.notify(); }
  /// Called for each job that a peer says is cancelled, the first time.
  std::function<void(const std::string& job)> on_cancelled;

  /// Whether a heartbeat of this peer came within the last few intervals.
  bool is_alive(const std::string& controller) const;
  /// Infinite for a peer without any heartbeat so far, and for a controller that is no peer.
  double since_last_heartbeat_s(const std::string& controller) const;
  int unreachable_peers() const;
  /// No peer is alive.
  bool is_isolated() const { return unreachable_peers() == static_cast<int>(peers_.size()); }
  /// Some live peer had contact with the key-value store within so many seconds.
  bool any_peer_reaches_store(double max_age_s) const;
  /// Writes per second that all live peers together want.
  uint64_t wanted_writes() const;
  /// The most machines that come to one live peer without being its own.
  uint64_t max_misrouted_machines() const;

  struct ShardLeaderClaim {
    std::string controller;
    uint64_t fencing_token = 0;
  };
  /// The live peer with the newest shard lease, as its heartbeat says; nothing where none has one.
  std::optional<ShardLeaderClaim> newest_shard_leader() const;
  /// Its fencing token; 0, which no lease has, where no live peer has one.
  uint64_t newest_fencing_token() const;

 private:
  struct Peer {
    PeerHeartbeat heartbeat;  // the last one
    double received_at = never;
  };
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
