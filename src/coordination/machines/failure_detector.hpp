/// Failure detection from missed heartbeats: which machines are suspected, which zones are cut off
/// and which machines are declared dead. Pure: the time and the machines are passed in.
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

/// Owned by the shard leader. Times are seconds of the loop's clock.
///
/// Invariant: time in which this process itself heard nobody is never counted against a machine.
/// Missed heartbeats are counted from the liveness base at the earliest: the beginning of the
/// lease, or the last time at which the process was held up.
class FailureDetector {
 public:
  explicit FailureDetector(const Settings& settings) : settings_(settings) {}

  /// A lease begins: no machine has missed a heartbeat yet.
  void begin_lease(double now);
  /// To be called every `period_s`. A call that comes much later shows that the process was held
  /// up; that is no machine's fault.
  void note_tick(double now, double period_s);

  /// Seconds since the machine's last heartbeat, counted from the liveness base at the earliest.
  [[nodiscard]] double since_last_heartbeat_s(const Machine& machine, double now) const;
  /// Without a heartbeat for too long to be given new tasks.
  [[nodiscard]] bool is_suspected(const Machine& machine, double now) const;
  /// Seconds without a heartbeat after which a machine is suspected.
  [[nodiscard]] double suspect_after_s() const;
  /// Zones none of whose machines was heard for a time in which several should have been: cut off,
  /// most likely, long before each machine alone is suspected.
  [[nodiscard]] std::set<std::string> unreachable_zones(
      const std::map<std::string, Machine>& machines, double now) const;

  /// What the detector has to know of machines from elsewhere.
  struct FleetFacts {
    using Predicate = std::function<bool(const std::string& machine)>;
    Predicate has_tombstone;    ///< no longer part of the fleet
    Predicate is_leaving;       ///< has a tombstone or is to get one: not examined
    Predicate has_assignments;  ///< the records place tasks there
    int unreachable_peers = 0;  ///< controllers that don't answer
  };
  struct SuspectedMachine {
    std::string id;
    double heartbeat_age_s = 0;  ///< since its last heartbeat
    bool is_dead = false;
  };
  /// The suspected machines in the order of their ids, and whether each is to be declared dead.
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
