#include "coordination/leadership/peer_network.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

namespace damsonport {

PeerNetwork::PeerNetwork(Loop& loop, Network& network, const Settings& settings,
                         CancellationGossip& cancellations)
    : loop_(loop),
      cancellations_(cancellations),
      period_(settings.heartbeat_interval_s / 3),
      wake_(loop) {
  for (auto& p : settings.peers) {
    links_[p.name] = network.link(p.address);
    seen_[p.name];
  }
  listener_ = network.listener(settings.peer_listen, 2 + 4 * settings.peers.size(),
                               [this](std::string_view b) { return take(b); });
}

long PeerNetwork::take(std::string_view bytes) {
  long used = 0;
  for (;;) {
    PeerHeartbeat heartbeat;
    size_t n = 0;
    auto got = decode_peer_heartbeat(bytes.substr(static_cast<size_t>(used)), heartbeat, n);
    if (got == Framed::bad) return -1;
    if (got == Framed::partial) return used;
    used += static_cast<long>(n);
    // Only the nodes named in the settings: nothing grows with what strangers send.
    auto it = seen_.find(heartbeat.controller);
    if (it == seen_.end()) continue;
    const auto merged = cancellations_.merge(heartbeat, loop_.now());
    if (merged.answer_at_once) wake_.notify();
    for (auto& job : merged.fresh)
      if (on_cancelled) on_cancelled(job);
    heartbeat.cancelled.clear();
    it->second = {std::move(heartbeat), loop_.now()};
  }
}

Task<void> PeerNetwork::send_heartbeats(std::function<PeerHeartbeat()> fill,
                                        std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    const auto common = fill();
    for (auto& [peer, link] : links_) {
      auto heartbeat = common;
      cancellations_.add_to(heartbeat, peer, loop_.now());
      link->send(encode_peer_heartbeat(heartbeat));
    }
    // What must be said at once waits only for what comes just behind it.
    if (!co_await Sleep(loop_, period_ / 20, stop_token)) co_return;
    co_await wake_.wait(period_ * loop_.uniform(0.85, 1.05), stop_token);
  }
}

double PeerNetwork::since_last_heartbeat_s(const std::string& controller) const {
  auto it = seen_.find(controller);
  return it == seen_.end() ? std::numeric_limits<double>::infinity() : loop_.now() - it->second.at;
}

bool PeerNetwork::alive(const std::string& controller) const {
  return since_last_heartbeat_s(controller) < 3 * period_;
}

uint64_t PeerNetwork::wanted_writes() const {
  uint64_t sum = 0;
  for (auto& [controller, s] : seen_)
    if (alive(controller)) sum += s.heartbeat.writes;
  return sum;
}

int PeerNetwork::unreachable_peers() const {
  return static_cast<int>(
      std::count_if(seen_.begin(), seen_.end(), [&](auto& s) { return !alive(s.first); }));
}

bool PeerNetwork::any_peer_reaches_store(double max_age_s) const {
  for (auto& [controller, s] : seen_)
    if (alive(controller) && static_cast<double>(s.heartbeat.state_age_ms) / 1000 < max_age_s)
      return true;
  return false;
}

std::optional<PeerNetwork::ShardLeaderClaim> PeerNetwork::newest_shard_leader() const {
  std::optional<ShardLeaderClaim> newest;
  for (auto& [controller, s] : seen_) {
    const uint64_t token = s.heartbeat.fencing_token;
    if (alive(controller) && token > (newest ? newest->fencing_token : 0))
      newest = {controller, token};
  }
  return newest;
}

uint64_t PeerNetwork::newest_fencing_token() const {
  const auto newest = newest_shard_leader();
  return newest ? newest->fencing_token : 0;
}

uint64_t PeerNetwork::misrouted_machines() const {
  uint64_t most = 0;
  for (auto& [controller, s] : seen_)
    if (alive(controller)) most = std::max(most, s.heartbeat.misrouted_machines);
  return most;
}

}  // namespace damsonport
