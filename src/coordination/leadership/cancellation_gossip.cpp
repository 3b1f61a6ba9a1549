#include "coordination/leadership/cancellation_gossip.hpp"

#include <algorithm>
#include <utility>

namespace damsonport {

namespace {
// Bounds on the part of one heartbeat that lists cancellations. Every version reads at least this
// much; what doesn't fit follows in the next heartbeat.
constexpr size_t max_entries = 1000;
constexpr size_t max_bytes = size_t{12} * 1024;
// Size of an entry without the job's name: the name's length and the age.
constexpr size_t entry_overhead_bytes = 8;
// Bound on the names of the machines of one job. The list of a job with more is incomplete.
constexpr size_t max_machine_bytes = size_t{4} * 1024;
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
  auto number = number_by_job_.find(job);
  if (number != number_by_job_.end()) {
    auto& listed = listed_.at(number->second);
    return !std::exchange(listed.is_recorded, true);
  }
  list({job, since, true, std::nullopt});
  return true;
}

void CancellationGossip::list(Listed cancellation) {
  number_by_job_[cancellation.job] = ++last_number_;
  listed_[last_number_] = std::move(cancellation);
}

void CancellationGossip::list_again(const std::string& job) {
  auto number = number_by_job_.find(job);
  if (number == number_by_job_.end()) return;
  auto listed = listed_.extract(number->second);
  listed.key() = number->second = ++last_number_;
  listed_.insert(std::move(listed));
}

void CancellationGossip::stop_listing(const std::string& job) {
  auto number = number_by_job_.find(job);
  if (number == number_by_job_.end()) return;
  listed_.erase(number->second);
  number_by_job_.erase(number);
}

void CancellationGossip::note_machines(const std::string& job,
                                       const PeerHeartbeat::JobMachines& in_records) {
  if (number_by_job_.contains(job) && machines_[job].note_own_records(in_records)) list_again(job);
}

void CancellationGossip::note_ended(const std::string& job, double now) {
  received_.erase(job);
  auto number = number_by_job_.find(job);
  if (number == number_by_job_.end()) return;
  listed_.at(number->second).ended_at = now;
  if (machines_[job].release_all()) list_again(job);
}

void CancellationGossip::forget(const std::string& job) {
  received_.erase(job);
  stop_listing(job);
  machines_.erase(job);
}

void CancellationGossip::forget_ended_before(double time) {
  std::vector<std::string> old;
  for (auto& [number, cancellation] : listed_)
    if (cancellation.ended_at && *cancellation.ended_at < time) old.push_back(cancellation.job);
  for (auto& job : old) forget(job);
}

void CancellationGossip::relay_received() {
  for (auto& [job, received] : received_)
    if (!number_by_job_.contains(job)) list({job, received.since, false, std::nullopt});
}

bool CancellationGossip::is_recorded(const std::string& job) const {
  auto number = number_by_job_.find(job);
  return number != number_by_job_.end() && listed_.at(number->second).is_recorded;
}

const CancelledJobMachines* CancellationGossip::machines_of(const std::string& job) const {
  auto machines = machines_.find(job);
  return machines == machines_.end() ? nullptr : &machines->second;
}

std::vector<CancellationGossip::Cancellation> CancellationGossip::all() const {
  std::vector<Cancellation> out;
  for (auto& [number, listed] : listed_)
    if (listed.is_recorded)
      out.push_back(
          {listed.job, listed.since, listed.since, std::nullopt, machines_of(listed.job)});
  for (auto& [job, received] : received_) {
    if (!is_recorded(job))
      out.push_back(
          {job, received.since, received.latest, received.first_received_at, machines_of(job)});
  }
  return out;
}

std::optional<PeerHeartbeat::JobMachines> CancellationGossip::statement(
    const std::string& job) const {
  const auto* machines = machines_of(job);
  if (!machines || !machines->any_statement()) return std::nullopt;
  PeerHeartbeat::JobMachines out{true, machines->listed()};
  size_t bytes = 0;
  for (size_t i = 0; i < out.machines.size(); ++i) {
    bytes += out.machines[i].size() + 1;
    if (bytes <= max_machine_bytes) continue;
    out.complete = false;
    out.machines.resize(i);
  }
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
  for (auto next = listed_.upper_bound(peer.acknowledged_upto); next != listed_.end(); ++next) {
    const auto& [number, cancellation] = *next;
    auto machines = statement(cancellation.job);
    bytes += cancellation.job.size() + entry_overhead_bytes;
    if (machines)
      for (auto& machine : machines->machines) bytes += machine.size() + 1;
    if (heartbeat.cancelled.size() == max_entries || bytes > max_bytes) {
      heartbeat.listed_upto = number - 1;
      break;
    }
    const double age_s = std::min(now - cancellation.since, max_age_s);
    heartbeat.cancelled.push_back({cancellation.job, to_ms(age_s), std::move(machines)});
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

bool CancellationGossip::is_newest(const Peer& peer, const PeerHeartbeat& heartbeat) {
  return heartbeat.sent_ms >= peer.newest_sent_ms ||
         heartbeat.incarnation != peer.newest_incarnation;
}

void CancellationGossip::note_acknowledgement(Peer& peer, const PeerHeartbeat& heartbeat,
                                              std::optional<double> echoed) const {
  peer.newest_incarnation = heartbeat.incarnation;
  peer.newest_sent_ms = heartbeat.sent_ms;
  // The peer's figure is adopted even if it is lower than before, because the peer may have
  // restarted.
  if (echoed) peer.acknowledged_upto = std::min(heartbeat.received_upto, last_number_);
}

std::vector<std::string> CancellationGossip::merge_cancellations(const PeerHeartbeat& heartbeat,
                                                                 double sent_after, double now,
                                                                 bool newest) {
  std::vector<std::string> new_jobs;
  for (auto& cancellation : heartbeat.cancelled) {
    const double since = sent_after - from_ms(cancellation.age_ms);
    const double latest = now - from_ms(cancellation.age_ms);
    auto [known, is_new] =
        received_.try_emplace(cancellation.job, Received{since, latest, now, now});
    known->second.since = std::min(known->second.since, since);
    // A late heartbeat says nothing of how long ago the cancellation was.
    if (newest) known->second.latest = std::max(known->second.latest, latest);
    known->second.last_received_at = now;
    if (is_new) new_jobs.push_back(cancellation.job);
  }
  return new_jobs;
}

// Statements of an earlier incarnation stay: its records listed these machines. A heartbeat may be
// a late one of it, so the order of statements is that of one incarnation.
void CancellationGossip::merge_machines(const PeerHeartbeat& heartbeat) {
  const std::string source = heartbeat.controller + "/" + std::to_string(heartbeat.incarnation);
  for (auto& [job, age_ms, machines] : heartbeat.cancelled)
    if (machines && machines_[job].note(source, heartbeat.sent_ms, *machines)) list_again(job);
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
  const bool newest = is_newest(peer, heartbeat);
  if (newest) note_acknowledgement(peer, heartbeat, echoed);
  result.new_jobs =
      merge_cancellations(heartbeat, std::min(echoed.value_or(now), now), now, newest);
  merge_machines(heartbeat);
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
  std::vector<std::string> covered;
  for (auto& [job, received] : received_)
    if (received.last_received_at < records_as_of) covered.push_back(job);
  for (auto& job : covered) {
    if (is_recorded(job)) {
      received_.erase(job);
    } else {
      forget(job);
    }
  }
}

}  // namespace damsonport
