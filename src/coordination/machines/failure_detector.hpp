/// Detects failures from missed heartbeats: suspected machines, unreachable zones and dead
/// machines. Pure: the caller passes in the time and the machines.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "coordination/machines/dead_machine_timeout.hpp"
#include "coordination/machines/machine.hpp"

namespace damsonport {

/// Detects suspected and dead machines. Owned by the shard leader. Times are seconds of the loop's
/// clock.
///
/// Invariant: time in which this process could not receive heartbeats never counts against a
/// machine. Missed heartbeats are counted from the beginning of the lease or the end of the last
/// stall of the process at the earliest.
class FailureDetector {
 public:
  explicit FailureDetector(const Settings& settings) : settings_(settings) {}

  /// Starts a new lease, in which no machine has missed a heartbeat yet.
  void begin_lease(double now);
  /// Must be called every `period_s` seconds. A much later call shows that the process was stalled;
  /// missed heartbeats are counted from that call on.
  void note_tick(double now, double period_s);

  /// Seconds since the machine's last heartbeat, or since the beginning of the lease or the end of
  /// the last stall if that was later.
  [[nodiscard]] double since_last_heartbeat_s(const Machine& machine, double now) const;
  /// Whether the machine has missed too many heartbeats to get new tasks.
  [[nodiscard]] bool is_suspected(const Machine& machine, double now) const;
  /// Seconds without a heartbeat after which a machine is suspected.
  [[nodiscard]] double suspect_after_s() const;
  /// Zones without a heartbeat or response of any machine for a time in which several were due.
  /// Such a zone is most likely disconnected; this is detected long before each machine is
  /// suspected.
  [[nodiscard]] std::set<std::string> unreachable_zones(
      const std::map<std::string, Machine>& machines, double now) const;

  /// Inputs of detect() that come from other components.
  struct FleetFacts {
    using Predicate = std::function<bool(const std::string& machine)>;
    Predicate has_tombstone;    ///< the machine is no longer part of the fleet
    Predicate is_leaving;       ///< has a tombstone or will get one; not examined
    Predicate has_assignments;  ///< the records place tasks on the machine
    int unreachable_peers = 0;  ///< number of unreachable controllers
  };
  /// Result of detect() for one machine.
  struct SuspectedMachine {
    std::string id;
    double heartbeat_age_s = 0;  ///< see since_last_heartbeat_s()
    bool is_dead = false;        ///< to be declared dead
  };
  /// Returns the suspected machines in the order of their ids, with the decision whether to declare
  /// each of them dead. A machine that responded to a recent request of this controller is not
  /// declared dead.
  [[nodiscard]] std::vector<SuspectedMachine> detect(const std::map<std::string, Machine>& machines,
                                                     const FleetFacts& facts, double now);

 private:
  double dead_after_s() const;
  double timeout_s(const std::map<std::string, Machine>& machines, const FleetFacts& facts,
                   double now);
  double first_heartbeat_grace_s(const std::string& machine, const FleetFacts& facts) const;

  const Settings& settings_;
  double counting_since_ = 0;
  double last_tick_ = 0;
  DeadMachineTimeout dead_machine_timeout_;
};

}  // namespace damsonport
