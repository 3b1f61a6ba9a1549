/// Headroom: capacity kept ready for work that has not arrived yet, sized by recent arrivals and by
/// its price. Pure.
#pragma once
#include <vector>

namespace damsonport::headroom {

/// A job that was accepted lately.
struct Arrival {
  double age_s = 0;   ///< Seconds since it was accepted.
  double amount = 0;  ///< Accelerators or CPUs that its tasks take together.
};

/// Demand likely to arrive until a machine that is requested now is up: the mean of the arrivals
/// over some boot times plus `standard_deviations` standard deviations, as if jobs came
/// independently of one another. Older arrivals don't count, except that they show for how long
/// arrivals have been seen.
double expected_arrivals(const std::vector<Arrival>& arrivals, double boot_s,
                         double standard_deviations);

/// One resource: accelerators, or CPUs of machines without any.
struct HeadroomInput {
  double in_use = 0;       ///< Units that unfinished work uses or asks for.
  double expected = 0;     ///< Units of expected arrivals.
  double unit_price = 0;   ///< Price of a unit an hour.
  double fleet_price = 0;  ///< Price of all machines an hour.
};

/// Units to keep free: `headroom_share` of what is in use, but, where that costs more than
/// `cheap_share` of the fleet's price, no more than that or than what is expected to arrive.
double target_headroom(const HeadroomInput& input, double headroom_share, double cheap_share);

}  // namespace damsonport::headroom
