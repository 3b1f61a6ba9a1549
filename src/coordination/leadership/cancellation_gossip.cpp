#include "coordination/leadership/cancellation_gossip.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// Bounds on the part of one heartbeat that lists cancellations. Every version reads at least this
// much; what doesn't fit follows in the next heartbeat.
constexpr size_t max_entries = 1000;
constexpr size_t max_bytes = size_t{12} * 1024;
// Size of an entry without the job's name: the name's length and the age.
constexpr size_t entry_overhead_bytes = 8;
// Sent for cancellations of unknown age; older than any cancellation that still matters.
constexpr double max_age_s = 1e7;

uint64_t to_ms(double seconds) { return static_cast<uint64_t>(std::max(seconds, 0.0) * 1000); }
double from_ms(uint64_t ms) { return static_cast<double>(ms) / 1000; }
}  // namespace

CancellationGossip::CancellationGossip(uint64_t incarnation, const std::vector<std::string>& peers)
    : incarnation_(incarnation) {
  for (auto& peer : peers) peers_[peer];
}

bool CancellationGossip::record(const std::string& job, double since) {
  if (!number_by_job_.try_emplace(job, last_number_ + 1).second) return false;
  known_[++last_number_] = {job, since};
  return true;
}

void CancellationGossip::forget(const std::string& job) {
  received_.erase(job);
  auto number = number_by_job_.find(job);
  if (number == number_by_job_.end()) return;
  known_.erase(number->second);
  number_by_job_.erase(number);
}

std::vector<CancellationGossip::Cancellation> CancellationGossip::known() const {
  std::vector<Cancellation> out;
  for (auto& [number, cancellation] : known_) out.push_back(cancellation);
  return out;
}

void CancellationGossip::add_to(PeerHeartbeat& heartbeat, const std::string& peer_name,
                                double now) const {
  heartbeat.sent_ms = to_ms(now);
  heartbeat.newest_number = last_number_;
  heartbeat.listed_upto = last_number_;
  auto it = peers_.find(peer_name);
  if (it == peers_.end()) return;
  const Peer& peer = it->second;
  heartbeat.echo_incarnation = peer.newest_incarnation;
  heartbeat.echo_ms = peer.newest_sent_ms;
  heartbeat.received_upto = peer.received_upto;
  heartbeat.listed_after = peer.acknowledged_upto;
  size_t bytes = 0;
  for (auto next = known_.upper_bound(peer.acknowledged_upto); next != known_.end(); ++next) {
    const auto& [number, cancellation] = *next;
    bytes += cancellation.job.size() + entry_overhead_bytes;
    if (heartbeat.cancelled.size() == max_entries || bytes > max_bytes) {
      heartbeat.listed_upto = number - 1;
      break;
    }
    const double age_s = std::min(now - cancellation.since, max_age_s);
    heartbeat.cancelled.push_back({cancellation.job, to_ms(age_s)});
  }
}

// The sender echoes the newest send time that it has received from us, so its heartbeat was sent
// after that time. A heartbeat that was delayed on the way is never taken for newer than it is.
std::optional<double> CancellationGossip::echoed_time(const PeerHeartbeat& heartbeat) const {
  if (heartbeat.echo_incarnation != incarnation_) return std::nullopt;
  return from_ms(heartbeat.echo_ms);
}

bool CancellationGossip::follow_incarnation(Peer& peer, const PeerHeartbeat& heartbeat,
                                            std::optional<double> echoed) {
  if (heartbeat.incarnation != peer.incarnation) {
    // The numbers of an earlier incarnation are meaningless in the present one.
    if (peer.has_sent && echoed && *echoed < peer.watermark) return false;
    peer.incarnation = heartbeat.incarnation;
    peer.received_upto = 0;
    peer.acknowledged_upto = 0;
  }
  peer.has_sent = true;
  return true;
}

void CancellationGossip::note_acknowledgement(Peer& peer, const PeerHeartbeat& heartbeat,
                                              std::optional<double> echoed) const {
  const bool is_newest =
      heartbeat.sent_ms >= peer.newest_sent_ms || heartbeat.incarnation != peer.newest_incarnation;
  if (!is_newest) return;
  peer.newest_incarnation = heartbeat.incarnation;
  peer.newest_sent_ms = heartbeat.sent_ms;
  // The peer's figure is adopted even if it is lower than before, because the peer may have
  // restarted.
  if (echoed) peer.acknowledged_upto = std::min(heartbeat.received_upto, last_number_);
}

std::vector<std::string> CancellationGossip::merge_cancellations(const PeerHeartbeat& heartbeat,
                                                                 double sent_after, double now) {
  std::vector<std::string> new_jobs;
  for (auto& cancellation : heartbeat.cancelled) {
    const double since = sent_after - from_ms(cancellation.age_ms);
    auto [known, is_new] = received_.try_emplace(cancellation.job, Received{since, now});
    known->second.since = std::min(known->second.since, since);
    known->second.last_received_at = now;
    if (is_new) new_jobs.push_back(cancellation.job);
  }
  return new_jobs;
}

CancellationGossip::MergeResult CancellationGossip::merge(const PeerHeartbeat& heartbeat,
                                                          double now) {
  MergeResult result;
  auto it = peers_.find(heartbeat.controller);
  if (it == peers_.end()) return result;
  Peer& peer = it->second;
  const uint64_t acknowledged_before = peer.acknowledged_upto;
  const uint64_t received_before = peer.received_upto;
  const auto echoed = echoed_time(heartbeat);
  if (!follow_incarnation(peer, heartbeat, echoed)) return result;
  note_acknowledgement(peer, heartbeat, echoed);
  result.new_jobs = merge_cancellations(heartbeat, std::min(echoed.value_or(now), now), now);
  if (peer.received_upto >= heartbeat.listed_after)
    peer.received_upto = std::max(peer.received_upto, heartbeat.listed_upto);
  // Until the peer has loaded the records, it doesn't know the cancellations that its earlier
  // incarnations sent. Afterwards it knows all of them, since those incarnations sent only
  // cancellations that were in the records.
  if (echoed && heartbeat.records_loaded && peer.received_upto >= heartbeat.newest_number)
    peer.watermark = std::max(peer.watermark, *echoed);
  const bool peer_waits_for_more =
      peer.acknowledged_upto > acknowledged_before && peer.acknowledged_upto < last_number_;
  const bool more_follows =
      peer.received_upto > received_before && peer.received_upto < heartbeat.newest_number;
  result.reply_at_once = peer_waits_for_more || more_follows;
  return result;
}

std::optional<double> CancellationGossip::cancelled_since(const std::string& job) const {
  auto it = received_.find(job);
  if (it == received_.end()) return std::nullopt;
  return it->second.since;
}

double CancellationGossip::watermark(double now) const {
  double least = now;
  for (auto& [name, peer] : peers_) least = std::min(least, peer.watermark);
  return least;
}

void CancellationGossip::forget_received_before(double records_as_of) {
  std::erase_if(received_,
                [&](auto& entry) { return entry.second.last_received_at < records_as_of; });
}

}  // namespace damsonport
