// How long a silent machine is waited for. Pure.
#pragma once
#include <cstddef>
#include <limits>

namespace damsonport {

// With a large share of the fleet silent at once the fault is rather in between, and in such a mass
// silence nothing is given up for three leases. When it ends the machines come back one by one over
// the time of a few reports: those that are not back yet when the share falls under the bar are not
// to be given up all at once, so the patience outlasts the mass silence.
class DeadMachineTimeout {
 public:
  // Seconds of silence after which a machine is given up; `dead_after_s`: where no mass silence is.
  double limit(double now, size_t known, size_t silent, double dead_after_s, double lease_s);

 private:
  double mass_seen_at_ = -std::numeric_limits<double>::infinity();
};

}  // namespace damsonport
