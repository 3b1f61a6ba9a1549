/// Chooses the time without heartbeats after which machines are declared dead. Pure: the caller
/// passes in the time.
#pragma once
#include <cstddef>
#include <limits>

namespace damsonport {

/// Computes the timeout, which is longer during and shortly after a mass outage.
///
/// If a large share of the fleet is suspected at the same time, the fault is more likely in the
/// network than in the machines, so no machine is declared dead for three leases. When such a mass
/// outage ends, heartbeats resume machine by machine, over a few heartbeat intervals. The machines
/// that are still suspected when the share falls below the threshold must not be declared dead all
/// at once, so the longer timeout remains in force for some time after the outage.
class DeadMachineTimeout {
 public:
  /// Returns the seconds without a heartbeat after which a machine is declared dead, at time `now`.
  /// `known_machines`: number of machines of the fleet; `suspected_machines`: number of suspected
  /// ones among them; `dead_after_s`: the timeout without a mass outage, also the time for which
  /// the longer timeout remains in force.
  [[nodiscard]] double timeout_s(double now, size_t known_machines, size_t suspected_machines,
                                 double dead_after_s, double lease_s);

 private:
  // Last time at which so large a share was suspected, in seconds of the caller's clock.
  double last_mass_outage_at_ = -std::numeric_limits<double>::infinity();
};

}  // namespace damsonport
