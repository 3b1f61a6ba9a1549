#include "coordination/autoscaling/headroom.hpp"

#include <algorithm>
#include <cmath>

namespace damsonport::headroom {

namespace {
/// Boot times over which arrivals are counted.
constexpr double window_boots = 5;
/// How long a boot is taken to last, in boot times of the catalogue, which are the usual ones.
constexpr double late_boot = 1.5;
}  // namespace

double expected_arrivals(const std::vector<Arrival>& arrivals, double boot_s, double spreads) {
  if (boot_s <= 0) return 0;
  double sum = 0, squares = 0, oldest_s = 0;
  for (const auto& arrival : arrivals) {
    oldest_s = std::max(oldest_s, arrival.age_s);
    if (arrival.age_s > window_boots * boot_s) continue;
    sum += arrival.amount;
    squares += arrival.amount * arrival.amount;
  }
  const double boots_seen = std::clamp(oldest_s / boot_s, 1.0, window_boots) / late_boot;
  return sum / boots_seen + spreads * std::sqrt(squares / boots_seen);
}

double target_headroom(const Pool& pool, double headroom_share, double cheap_share) {
  const double full = pool.in_use * headroom_share;
  if (pool.unit_price <= 0) return full;
  const double cheap = cheap_share * pool.fleet_price / pool.unit_price;
  return std::min(full, std::max(pool.expected, cheap));
}

}  // namespace damsonport::headroom
