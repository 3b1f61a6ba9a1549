/// How long a machine without heartbeats is waited for before it is declared dead. Pure: the time
/// is passed in.
#pragma once
#include <cstddef>
#include <limits>

namespace damsonport {

/// Where a large share of the fleet is silent at once, the fault is rather in the network than in
/// the machines, and no machine is declared dead for three leases. When such an outage ends, the
/// machines are heard again one by one, over a few heartbeat intervals. Those that are still silent
/// when the share falls below the threshold must not be declared dead all at once; so the long
/// timeout holds for some time after the outage.
class DeadMachineTimeout {
 public:
  /// Seconds without a heartbeat after which a machine is declared dead. `known`: machines of the
  /// fleet; `silent`: the suspected ones among them; `dead_after_s`: the timeout outside of an
  /// outage.
  [[nodiscard]] double limit(double now, size_t known, size_t silent, double dead_after_s,
                             double lease_s);

 private:
  // When so large a share was last silent.
  double mass_seen_at_ = -std::numeric_limits<double>::infinity();
};

}  // namespace damsonport
