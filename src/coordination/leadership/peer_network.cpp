#include "coordination/leadership/peer_network.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

namespace damsonport {

namespace {
// Controllers send this many heartbeats per heartbeat interval of the workers.
constexpr double heartbeats_per_worker_heartbeat = 3;
// A peer is alive while its last heartbeat is less than this many intervals old.
constexpr double alive_intervals = 3;
// An urgent heartbeat is delayed by this fraction of an interval, so that it includes further
// changes that follow immediately.
constexpr double batch_delays_per_interval = 20;

// Maximum number of streams open at once. Peers may reconnect before the loss of the old stream is
// noticed.
size_t max_streams(const Settings& settings) { return 2 + 4 * settings.peers.size(); }

constexpr long malformed_input = -1;  // closes the stream
}  // namespace

PeerNetwork::PeerNetwork(Loop& loop, Network& network, const Settings& settings,
                         CancellationGossip& cancellations)
    : loop_(loop),
      cancellations_(cancellations),
      interval_s_(settings.heartbeat_interval_s / heartbeats_per_worker_heartbeat),
      wake_(loop) {
  for (auto& peer : settings.peers) {
    links_[peer.name] = network.link(peer.address);
    peers_[peer.name];
  }
  listener_ = network.listener(settings.peer_listen, max_streams(settings),
                               [this](std::string_view bytes) { return receive(bytes); });
}

long PeerNetwork::receive(std::string_view bytes) {
  long used = 0;
  for (;;) {
    PeerHeartbeat heartbeat;
    size_t size = 0;
    const auto framed =
        decode_peer_heartbeat(bytes.substr(static_cast<size_t>(used)), heartbeat, size);
    if (framed == FrameStatus::malformed) return malformed_input;
    if (framed == FrameStatus::incomplete) return used;
    used += static_cast<long>(size);
    process_heartbeat(std::move(heartbeat));
  }
}

void PeerNetwork::process_heartbeat(PeerHeartbeat heartbeat) {
  // Heartbeats of controllers that the settings don't name are ignored, so that unknown senders
  // can't use memory.
  auto peer = peers_.find(heartbeat.controller);
  if (peer == peers_.end()) return;
  const auto merged = cancellations_.merge(heartbeat, loop_.now());
  if (merged.reply_at_once) wake_.notify();
  for (auto& job : merged.new_jobs) {
    spdlog::debug("{} reports that {} is cancelled", heartbeat.controller, job);
    if (on_cancelled) on_cancelled(job);
  }
  heartbeat.cancelled.clear();
  peer->second = {std::move(heartbeat), loop_.now()};
}

Task<void> PeerNetwork::send_heartbeats(std::function<PeerHeartbeat()> make_heartbeat,
                                        std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    const auto common = make_heartbeat();
    for (auto& [peer, link] : links_) {
      auto heartbeat = common;
      cancellations_.add_to(heartbeat, peer, loop_.now());
      link->send(encode_peer_heartbeat(heartbeat));
    }
    if (!co_await Sleep(loop_, interval_s_ / batch_delays_per_interval, stop_token)) co_return;
    co_await wake_.wait(interval_s_ * loop_.uniform(0.85, 1.05), stop_token);
  }
}

double PeerNetwork::since_last_heartbeat_s(const std::string& controller) const {
  auto peer = peers_.find(controller);
  if (peer == peers_.end()) return std::numeric_limits<double>::infinity();
  return loop_.now() - peer->second.received_at;
}

bool PeerNetwork::is_alive(const std::string& controller) const {
  return since_last_heartbeat_s(controller) < alive_intervals * interval_s_;
}

int PeerNetwork::unreachable_peers() const {
  return static_cast<int>(std::count_if(peers_.begin(), peers_.end(),
                                        [&](auto& peer) { return !is_alive(peer.first); }));
}

bool PeerNetwork::any_peer_reaches_store(double max_age_s) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](auto& peer) {
    const double age_s = static_cast<double>(peer.second.heartbeat.state_age_ms) / 1000;
    return is_alive(peer.first) && age_s < max_age_s;
  });
}

uint64_t PeerNetwork::wanted_writes() const {
  uint64_t sum = 0;
  for_each_live([&](auto&, const PeerHeartbeat& heartbeat) { sum += heartbeat.writes_per_s; });
  return sum;
}

uint64_t PeerNetwork::max_misrouted_machines() const {
  uint64_t most = 0;
  for_each_live([&](auto&, const PeerHeartbeat& heartbeat) {
    most = std::max(most, heartbeat.misrouted_machines);
  });
  return most;
}

std::optional<PeerNetwork::ShardLeaderClaim> PeerNetwork::newest_shard_leader() const {
  std::optional<ShardLeaderClaim> newest;
  for_each_live([&](const std::string& name, const PeerHeartbeat& heartbeat) {
    const uint64_t newest_token = newest ? newest->fencing_token : 0;
    if (heartbeat.fencing_token > newest_token) newest = {name, heartbeat.fencing_token};
  });
  return newest;
}

uint64_t PeerNetwork::newest_fencing_token() const {
  const auto newest = newest_shard_leader();
  return newest ? newest->fencing_token : 0;
}

}  // namespace damsonport
