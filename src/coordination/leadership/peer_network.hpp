// What the other controllers say of themselves: hints for liveness, for telling a shared outage of
// the state service from one's own, and what is cancelled.
#pragma once
#include <map>
#include <memory>
#include <optional>

#include "config/settings.hpp"
#include "coordination/leadership/cancellation_gossip.hpp"
#include "protocol/peer_heartbeat.hpp"
#include "transport/network.hpp"

namespace damsonport {

class PeerNetwork {
 public:
  PeerNetwork(Loop& loop, Network& network, const Settings& settings,
              CancellationGossip& cancellations);
  bool listening() const { return listener_ && listener_->listening(); }
  // Sends heartbeats until stopped; `fill` makes what is said to all alike.
  Task<void> send_heartbeats(std::function<PeerHeartbeat()> fill, std::stop_token stop_token);
  // Something must be said at once.
  void wake() { wake_.notify(); }
  // Called for each job that a peer says is cancelled, the first time.
  std::function<void(const std::string& job)> on_cancelled;
  // Heard from within two heartbeats.
  bool alive(const std::string& controller) const;
  // Seconds since it was heard.
  double since_last_heartbeat_s(const std::string& controller) const;
  // Writes that live peers want, all together.
  uint64_t wanted_writes() const;
  // No peer is reachable.
  bool is_isolated() const { return unreachable_peers() == static_cast<int>(seen_.size()); }
  // Peers that are not heard.
  int unreachable_peers() const;
  // Some live peer has contact with the state service.
  bool any_peer_reaches_store(double max_age_s) const;
  // The live peer with the newest shard lease by its own heartbeat.
  struct ShardLeaderClaim {
    std::string controller;
    uint64_t fencing_token = 0;
  };
  std::optional<ShardLeaderClaim> newest_shard_leader() const;
  // Its fencing token; 0, which no lease has, where no live peer leads.
  uint64_t newest_fencing_token() const;
  // The most machines that come to one live peer without being its own.
  uint64_t misrouted_machines() const;

 private:
  struct Seen {
    PeerHeartbeat heartbeat;
    double at = -1e9;
  };
  long take(std::string_view bytes);
  Loop& loop_;
  CancellationGossip& cancellations_;
  double period_;
  Notification wake_;
  std::map<std::string, Seen> seen_;
  std::map<std::string, std::unique_ptr<StreamLink>> links_;
  std::unique_ptr<StreamListener> listener_;
};

}  // namespace damsonport
