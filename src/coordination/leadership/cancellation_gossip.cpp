#include "coordination/leadership/cancellation_gossip.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// Bounds on the part of one heartbeat that lists cancellations. Every version reads at least this
// much; what doesn't fit follows in the next heartbeat.
constexpr size_t max_entries = 1000, max_bytes = size_t{12} * 1024;
// Of one entry, beside the job's name: the name's length and the age.
constexpr size_t entry_overhead_bytes = 8;

uint64_t to_ms(double seconds) { return static_cast<uint64_t>(std::max(seconds, 0.0) * 1000); }
}  // namespace

CancellationGossip::CancellationGossip(uint64_t incarnation, const std::vector<std::string>& peers)
    : incarnation_(incarnation) {
  for (auto& p : peers) peers_[p];
}

bool CancellationGossip::record(const std::string& job, double since) {
  if (!serial_.try_emplace(job, last_ + 1).second) return false;
  known_[++last_] = {job, since};
  return true;
}

void CancellationGossip::forget(const std::string& job) {
  received_.erase(job);
  auto it = serial_.find(job);
  if (it == serial_.end()) return;
  known_.erase(it->second);
  serial_.erase(it);
}

std::vector<std::pair<std::string, double>> CancellationGossip::known() const {
  std::vector<std::pair<std::string, double>> out;
  for (auto& [serial, entry] : known_) out.push_back(entry);
  return out;
}

void CancellationGossip::add_to(PeerHeartbeat& heartbeat, const std::string& peer,
                                double now) const {
  heartbeat.sent_ms = to_ms(now);
  heartbeat.last = heartbeat.upto = last_;
  auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  const Peer& p = it->second;
  heartbeat.echo_incarnation = p.stamp_incarnation;
  heartbeat.echo_ms = p.stamp;
  heartbeat.have = p.have;
  heartbeat.from = p.has;
  size_t bytes = 0;
  for (auto k = known_.upper_bound(p.has); k != known_.end(); ++k) {
    bytes += k->second.first.size() + entry_overhead_bytes;
    if (heartbeat.cancelled.size() == max_entries || bytes > max_bytes) {
      heartbeat.upto = k->first - 1;
      break;
    }
    // An unknown age counts as a very old one.
    const double age = std::min(now - k->second.second, 1e7);
    heartbeat.cancelled.push_back({k->second.first, to_ms(age)});
  }
}

CancellationGossip::Merged CancellationGossip::merge(const PeerHeartbeat& heartbeat, double now) {
  Merged merged;
  auto it = peers_.find(heartbeat.controller);
  if (it == peers_.end()) return merged;
  Peer& p = it->second;
  const uint64_t had = p.has, have_before = p.have;
  // The echo says that it was sent after we had sent that. Whatever is held up on the way is older
  // than it looks, and by the echo it is never taken for newer than it is.
  const bool echoed = heartbeat.echo_incarnation == incarnation_;
  const double sent_after = echoed ? static_cast<double>(heartbeat.echo_ms) / 1000 : 0;
  if (heartbeat.incarnation != p.incarnation) {
    // A copy of an earlier life's heartbeat is passed over: its numbers mean nothing in this one's.
    if (p.ever && echoed && sent_after < p.watermark) return merged;
    p.incarnation = heartbeat.incarnation;
    p.have = 0;
    p.has = 0;
  }
  p.ever = true;
  if (heartbeat.sent_ms >= p.stamp || heartbeat.incarnation != p.stamp_incarnation) {
    p.stamp_incarnation = heartbeat.incarnation;
    p.stamp = heartbeat.sent_ms;
    // As it says, also when that is less than before: it may have begun anew.
    if (echoed) p.has = std::min(heartbeat.have, last_);
  }
  const double base = echoed ? std::min(sent_after, now) : now;
  for (auto& c : heartbeat.cancelled) {
    const double since = base - static_cast<double>(c.age_ms) / 1000;
    auto [h, first] = received_.try_emplace(c.job, Received{since, now});
    h->second.since = std::min(h->second.since, since);
    h->second.at = now;
    if (first) merged.fresh.push_back(c.job);
  }
  if (p.have >= heartbeat.from) p.have = std::max(p.have, heartbeat.upto);
  // Not loaded, it knows nothing of what its earlier lives told; loaded, it has read all of that,
  // since they told only what stood in the records.
  if (echoed && heartbeat.loaded && p.have >= heartbeat.last)
    p.watermark = std::max(p.watermark, sent_after);
  const bool peer_waits_for_more = p.has > had && p.has < last_;
  const bool more_is_to_come = p.have > have_before && p.have < heartbeat.last;
  merged.answer_at_once = peer_waits_for_more || more_is_to_come;
  return merged;
}

std::optional<double> CancellationGossip::received(const std::string& job) const {
  auto it = received_.find(job);
  if (it == received_.end()) return std::nullopt;
  return it->second.since;
}

double CancellationGossip::watermark(double now) const {
  double least = now;
  for (auto& [name, p] : peers_) least = std::min(least, p.watermark);
  return least;
}

void CancellationGossip::forget_received_before(double records_as_of) {
  std::erase_if(received_, [&](auto& entry) { return entry.second.at < records_as_of; });
}

}  // namespace damsonport
