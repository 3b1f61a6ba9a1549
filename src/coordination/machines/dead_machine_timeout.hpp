/// How long a machine without heartbeats is waited for before it is declared dead. Pure: the time
/// is passed in.
#pragma once
#include <cstddef>
#include <limits>

namespace damsonport {

/// Where a large share of the fleet is suspected at once, the fault is rather in the
/// network than in the machines, and no machine is declared dead for three leases. When such an
/// outage ends, the machines are heard again one by one, over a few heartbeat intervals. Those that
/// are still suspected when the share falls below the threshold must not be declared dead
/// all at once; so the long timeout holds for some time after the outage.
class DeadMachineTimeout {
 public:
  /// Seconds without a heartbeat after which a machine is declared dead. `known_machines`: machines
  /// of the fleet; `suspected_machines`: the suspected ones among them; `dead_after_s`: the timeout
  /// outside of an outage.
  [[nodiscard]] double timeout_s(double now, size_t known_machines, size_t suspected_machines,
                                 double dead_after_s, double lease_s);

 private:
  // When so large a share was last suspected.
  double last_mass_outage_at_ = -std::numeric_limits<double>::infinity();
};

}  // namespace damsonport
