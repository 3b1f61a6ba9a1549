/// Headroom: capacity that is kept free for work that has not arrived yet. Its size depends on
/// recent arrivals and on its price. All functions are pure.
#pragma once
#include <vector>

namespace damsonport::headroom {

/// A recently accepted job.
struct Arrival {
  double age_s = 0;   ///< seconds since acceptance
  double amount = 0;  ///< accelerators or CPUs of all its tasks together
};

/// Returns the demand that is likely to arrive before a machine requested now is up, in
/// accelerators or CPUs: the mean of the arrivals during one boot plus `standard_deviations`
/// standard deviations, on the assumption that jobs arrive independently of one another. Both are
/// estimated from the arrivals within the last few boot times. An older arrival adds no demand, but
/// shows that arrivals have been observed for the whole window. `boot_s`: boot time stated in the
/// catalog, in seconds.
double expected_arrivals(const std::vector<Arrival>& arrivals, double boot_s,
                         double standard_deviations);

/// Usage and prices of one pool. Its unit is an accelerator, or a CPU of machines without
/// accelerators.
struct HeadroomInput {
  double in_use = 0;       ///< units used or requested by unfinished work
  double expected = 0;     ///< units of expected arrivals
  double unit_price = 0;   ///< price of one unit per hour
  double fleet_price = 0;  ///< price of all machines of the fleet per hour
};

/// Returns the number of units to keep free: `headroom_share` of the units in use. Headroom that
/// costs more than `cheap_share` of the fleet's price is limited to the expected arrivals or, if
/// that is more, to the units that this share of the price pays for.
double target_headroom(const HeadroomInput& input, double headroom_share, double cheap_share);

}  // namespace damsonport::headroom
