#include "coordination/mesh.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

namespace damsonport {

Mesh::Mesh(Loop& loop, Network& network, const Settings& settings, Cancellations& cancellations)
    : loop_(loop), cancellations_(cancellations), period_(settings.report_s / 3), hurry_(loop) {
  for (auto& p : settings.peers) {
    links_[p.name] = network.link(p.mesh);
    seen_[p.name];
  }
  listener_ = network.listener(settings.mesh_listen, 2 + 4 * settings.peers.size(),
                               [this](std::string_view b) { return take(b); });
}

long Mesh::take(std::string_view bytes) {
  long used = 0;
  for (;;) {
    Beat beat;
    size_t n = 0;
    auto got = decode_beat(bytes.substr(static_cast<size_t>(used)), beat, n);
    if (got == Framed::bad) return -1;
    if (got == Framed::partial) return used;
    used += static_cast<long>(n);
    // Only the nodes named in the settings: nothing grows with what strangers send.
    auto it = seen_.find(beat.node);
    if (it == seen_.end()) continue;
    for (auto& job : cancellations_.take(beat, loop_.now()))
      if (on_cancelled) on_cancelled(job);
    beat.cancelled.clear();
    it->second = {std::move(beat), loop_.now()};
  }
}

Task<void> Mesh::beat(std::function<Beat()> fill, std::stop_token token) {
  while (!token.stop_requested()) {
    const auto common = fill();
    for (auto& [peer, link] : links_) {
      auto beat = common;
      cancellations_.fill(beat, peer, loop_.now());
      link->send(encode_beat(beat));
    }
    // What must be said at once waits only for what comes just behind it.
    if (!co_await Sleep(loop_, period_ / 20, token)) co_return;
    co_await hurry_.wait(period_ * loop_.uniform(0.85, 1.05), token);
  }
}

double Mesh::silence(const std::string& node) const {
  auto it = seen_.find(node);
  return it == seen_.end() ? std::numeric_limits<double>::infinity() : loop_.now() - it->second.at;
}

bool Mesh::alive(const std::string& node) const { return silence(node) < 3 * period_; }

uint64_t Mesh::wanted_writes() const {
  uint64_t sum = 0;
  for (auto& [node, s] : seen_)
    if (alive(node)) sum += s.beat.writes;
  return sum;
}

int Mesh::silent_peers() const {
  return static_cast<int>(
      std::count_if(seen_.begin(), seen_.end(), [&](auto& s) { return !alive(s.first); }));
}

bool Mesh::peer_has_state(double max_age_s) const {
  for (auto& [node, s] : seen_)
    if (alive(node) && static_cast<double>(s.beat.state_age_ms) / 1000 < max_age_s) return true;
  return false;
}

std::pair<std::string, uint64_t> Mesh::newest_holder() const {
  std::pair<std::string, uint64_t> newest{{}, 0};
  for (auto& [node, s] : seen_)
    if (alive(node) && s.beat.term > newest.second) newest = {node, s.beat.term};
  return newest;
}

uint64_t Mesh::strays() const {
  uint64_t most = 0;
  for (auto& [node, s] : seen_)
    if (alive(node)) most = std::max(most, s.beat.strays);
  return most;
}

}  // namespace damsonport
