#include "coordination/machines/failure_detector.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// A gap of more than this many periods between two ticks shows that the process was stalled.
constexpr double stall_periods = 3;
// A worker without a response after 4 s contacts the next controller 1 s later.
constexpr double worker_retry_s = 5;
// Additional heartbeat intervals for an idle machine that has not sent a heartbeat yet.
constexpr double boot_grace_heartbeats = 2;
// A zone is unreachable after this many missed heartbeats of its machines together, but not before
// this many heartbeat intervals.
constexpr double zone_timeout_heartbeats = 10;
constexpr double min_zone_timeout_heartbeats = 0.25;
}  // namespace

void FailureDetector::begin_lease(double now) {
  counting_since_ = now;
  last_tick_ = now;
  dead_machine_timeout_ = {};
}

void FailureDetector::note_tick(double now, double period_s) {
  if (now - last_tick_ > stall_periods * period_s) counting_since_ = now;
  last_tick_ = now;
}

double FailureDetector::since_last_heartbeat_s(const Machine& machine, double now) const {
  return now - std::max(machine.last_heartbeat_at, counting_since_);
}

bool FailureDetector::is_suspected(const Machine& machine, double now) const {
  return since_last_heartbeat_s(machine, now) >= suspect_after_s();
}

double FailureDetector::suspect_after_s() const {
  const Tuning& tuning = settings_.tuning;
  return std::min(tuning.suspect_after_heartbeats * settings_.heartbeat_interval_s,
                  tuning.suspect_lease_share * settings_.lease_s);
}

double FailureDetector::dead_after_s() const {
  const Tuning& tuning = settings_.tuning;
  const double lease_s = settings_.lease_s;
  return std::max(std::min(tuning.dead_after_heartbeats * settings_.heartbeat_interval_s,
                           tuning.dead_lease_max * lease_s),
                  tuning.dead_lease_share * lease_s);
}

std::set<std::string> FailureDetector::unreachable_zones(
    const std::map<std::string, Machine>& machines, double now) const {
  struct Zone {
    double machines = 0;
    double last_heartbeat_at = -1e9;
  };
  std::map<std::string, Zone> zones;
  for (auto& [id, machine] : machines) {
    if (machine.agent_epoch == 0) continue;
    auto& zone = zones[machine.zone];
    ++zone.machines;
    zone.last_heartbeat_at = std::max(
        {zone.last_heartbeat_at, machine.last_heartbeat_at, machine.last_direct_response_at});
  }
  std::set<std::string> unreachable;
  for (auto& [name, zone] : zones) {
    const double timeout_s =
        settings_.heartbeat_interval_s *
        std::max(zone_timeout_heartbeats / zone.machines, min_zone_timeout_heartbeats);
    const double heartbeat_age_s = now - std::max(zone.last_heartbeat_at, counting_since_);
    if (heartbeat_age_s > std::min(timeout_s, suspect_after_s())) unreachable.insert(name);
  }
  return unreachable;
}

double FailureDetector::timeout_s(const std::map<std::string, Machine>& machines,
                                  const FleetFacts& facts, double now) {
  size_t known_machines = 0;
  size_t suspected_machines = 0;
  for (auto& [id, machine] : machines) {
    if (facts.has_tombstone(id)) continue;
    ++known_machines;
    suspected_machines += is_suspected(machine, now);
  }
  return dead_machine_timeout_.timeout_s(now, known_machines, suspected_machines, dead_after_s(),
                                         settings_.lease_s);
}

// Additional time for a machine that has not sent a heartbeat yet. An idle machine may still be
// booting. The worker of a machine with tasks may still be searching for the new shard leader and
// waits for a timeout at each unreachable controller.
double FailureDetector::first_heartbeat_grace_s(const std::string& machine,
                                                const FleetFacts& facts) const {
  return facts.has_assignments(machine) ? worker_retry_s * (1 + facts.unreachable_peers)
                                        : settings_.heartbeat_interval_s * boot_grace_heartbeats;
}

std::vector<FailureDetector::SuspectedMachine> FailureDetector::detect(
    const std::map<std::string, Machine>& machines, const FleetFacts& facts, double now) {
  const double timeout = timeout_s(machines, facts, now);
  std::vector<SuspectedMachine> suspected;
  for (auto& [id, machine] : machines) {
    if (facts.is_leaving(id) || !is_suspected(machine, now)) continue;
    const double heartbeat_age_s = since_last_heartbeat_s(machine, now);
    const double direct_response_age_s =
        now - std::max(machine.last_direct_response_at, counting_since_);
    double limit_s = timeout;
    if (machine.agent_epoch == 0) limit_s += first_heartbeat_grace_s(id, facts);
    const bool is_dead = heartbeat_age_s > limit_s && direct_response_age_s > dead_after_s();
    suspected.push_back({id, heartbeat_age_s, is_dead});
  }
  return suspected;
}

}  // namespace damsonport
