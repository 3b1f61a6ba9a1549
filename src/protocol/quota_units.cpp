#include "protocol/quota_units.hpp"

#include <algorithm>
#include <cmath>

namespace damsonport {

uint64_t units_covering(double amount, double limit) {
  if (limit <= 0 || amount <= 0) return 0;
  // Keeps a rounding error from adding a unit.
  constexpr double rounding_tolerance = 1e-3;
  const double units =
      std::ceil(amount / limit * static_cast<double>(total_quota_units) - rounding_tolerance);
  return static_cast<uint64_t>(std::clamp(units, 0.0, static_cast<double>(total_quota_units)));
}

}  // namespace damsonport
