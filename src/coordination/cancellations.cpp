#include "coordination/cancellations.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// In one heartbeat; with the longest names some 9 KB.
constexpr size_t most_in_a_heartbeat = 128;

uint64_t to_ms(double seconds) { return static_cast<uint64_t>(std::max(seconds, 0.0) * 1000); }
}  // namespace

Cancellations::Cancellations(uint64_t incarnation, const std::vector<std::string>& peers)
    : incarnation_(incarnation) {
  for (auto& p : peers) peers_[p];
}

bool Cancellations::record(const std::string& job, double since) {
  if (!serial_.try_emplace(job, last_ + 1).second) return false;
  known_[++last_] = {job, since};
  return true;
}

void Cancellations::forget(const std::string& job) {
  heard_.erase(job);
  auto it = serial_.find(job);
  if (it == serial_.end()) return;
  known_.erase(it->second);
  serial_.erase(it);
}

std::vector<std::pair<std::string, double>> Cancellations::known() const {
  std::vector<std::pair<std::string, double>> out;
  for (auto& [serial, entry] : known_) out.push_back(entry);
  return out;
}

void Cancellations::add_to(Heartbeat& heartbeat, const std::string& peer, double now) const {
  heartbeat.sent_ms = to_ms(now);
  heartbeat.last = heartbeat.upto = last_;
  auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  const Peer& p = it->second;
  heartbeat.echo_incarnation = p.stamp_incarnation;
  heartbeat.echo_ms = p.stamp;
  heartbeat.have = p.have;
  heartbeat.from = p.has;
  for (auto k = known_.upper_bound(p.has); k != known_.end(); ++k) {
    if (heartbeat.cancelled.size() == most_in_a_heartbeat) {
      heartbeat.upto = k->first - 1;
      break;
    }
    // An unknown age counts as a very old one.
    const double age = std::min(now - k->second.second, 1e7);
    heartbeat.cancelled.push_back({k->second.first, to_ms(age)});
  }
}

std::vector<std::string> Cancellations::merge(const Heartbeat& heartbeat, double now) {
  std::vector<std::string> fresh;
  auto it = peers_.find(heartbeat.node);
  if (it == peers_.end()) return fresh;
  Peer& p = it->second;
  // The echo says that it was sent after we had sent that. Whatever is held up on the way is older
  // than it looks, and by the echo it is never taken for newer than it is.
  const bool echoed = heartbeat.echo_incarnation == incarnation_;
  const double sent_after = echoed ? static_cast<double>(heartbeat.echo_ms) / 1000 : 0;
  if (heartbeat.incarnation != p.incarnation) {
    // A copy of an earlier life's heartbeat is passed over: its numbers mean nothing in this one's.
    if (p.ever && echoed && sent_after < p.covered) return fresh;
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
    auto [h, first] = heard_.try_emplace(c.job, Heard{since, now});
    h->second.since = std::min(h->second.since, since);
    h->second.at = now;
    if (first) fresh.push_back(c.job);
  }
  if (p.have >= heartbeat.from) p.have = std::max(p.have, heartbeat.upto);
  // Not loaded, it knows nothing of what its earlier lives told; loaded, it has read all of that,
  // since they told only what stood in the records.
  if (echoed && heartbeat.loaded && p.have >= heartbeat.last)
    p.covered = std::max(p.covered, sent_after);
  return fresh;
}

std::optional<double> Cancellations::heard(const std::string& job) const {
  auto it = heard_.find(job);
  if (it == heard_.end()) return std::nullopt;
  return it->second.since;
}

double Cancellations::covered(double now) const {
  double least = now;
  for (auto& [name, p] : peers_) least = std::min(least, p.covered);
  return least;
}

void Cancellations::forget_heard_before(double records_as_of) {
  std::erase_if(heard_, [&](auto& entry) { return entry.second.at < records_as_of; });
}

}  // namespace damsonport
