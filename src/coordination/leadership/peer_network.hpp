// What the other controllers say of themselves: hints for liveness, for telling a shared outage of
// the state service from one's own, and what is cancelled.
#pragma once
#include <map>
#include <memory>

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
  // No peer is heard.
  bool alone() const { return silent_peers() == static_cast<int>(seen_.size()); }
  // Peers that are not heard.
  int silent_peers() const;
  // Some live peer has contact with the state service.
  bool peer_has_state(double max_age_s) const;
  // The live peer with the newest grant by its own word, and its term; 0: none holds one.
  std::pair<std::string, uint64_t> newest_shard_leader() const;
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
