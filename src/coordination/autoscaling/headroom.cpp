#include "coordination/autoscaling/headroom.hpp"

#include <algorithm>
#include <cmath>

namespace damsonport::headroom {

namespace {
/// Window in which arrivals are counted, in boot times.
constexpr double arrival_window_boots = 5;
/// Assumed duration of a boot, in boot times of the catalog. The catalog states the usual duration,
/// so that some boots take longer.
constexpr double assumed_boot_factor = 1.5;
}  // namespace

double expected_arrivals(const std::vector<Arrival>& arrivals, double boot_s,
                         double standard_deviations) {
  if (boot_s <= 0) return 0;
  double sum = 0, sum_of_squares = 0, oldest_s = 0;
  for (const auto& arrival : arrivals) {
    oldest_s = std::max(oldest_s, arrival.age_s);
    if (arrival.age_s > arrival_window_boots * boot_s) continue;
    sum += arrival.amount;
    sum_of_squares += arrival.amount * arrival.amount;
  }
  const double boots_seen =
      std::clamp(oldest_s / boot_s, 1.0, arrival_window_boots) / assumed_boot_factor;
  return sum / boots_seen + standard_deviations * std::sqrt(sum_of_squares / boots_seen);
}

double target_headroom(const HeadroomInput& input, double headroom_share, double cheap_share) {
  const double full_headroom = input.in_use * headroom_share;
  if (input.unit_price <= 0) return full_headroom;
  const double cheap_headroom = cheap_share * input.fleet_price / input.unit_price;
  return std::min(full_headroom, std::max(input.expected, cheap_headroom));
}

}  // namespace damsonport::headroom
