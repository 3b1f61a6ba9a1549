/// A team's quota limit in units: shares of a limit, so that a region's quota keeps its meaning
/// when the limit changes.
#pragma once
#include <cstdint>

namespace damsonport {

/// All units of a limit. Every region starts with some of them, and they are only transferred.
inline constexpr uint64_t total_quota_units = uint64_t{1} << 40;

/// Units of the limit on CPUs and of the one on accelerators.
struct QuotaUnits {
  uint64_t cpus = 0;
  uint64_t gpus = 0;

  bool operator==(const QuotaUnits&) const = default;
  bool none() const { return cpus == 0 && gpus == 0; }
  QuotaUnits& operator+=(const QuotaUnits& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    return *this;
  }
  QuotaUnits& operator-=(const QuotaUnits& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    return *this;
  }
};
inline QuotaUnits operator+(QuotaUnits a, const QuotaUnits& b) { return a += b; }
inline QuotaUnits operator-(QuotaUnits a, const QuotaUnits& b) { return a -= b; }

/// The larger of both, for each resource.
inline QuotaUnits elementwise_max(const QuotaUnits& a, const QuotaUnits& b) {
  return {a.cpus > b.cpus ? a.cpus : b.cpus, a.gpus > b.gpus ? a.gpus : b.gpus};
}

/// a - b, or 0 where that would be negative.
inline uint64_t saturating_difference(uint64_t a, uint64_t b) { return a > b ? a - b : 0; }

/// What so many units of a limit are worth, in CPUs or accelerators like the limit.
inline double amount_of(uint64_t units, double limit) {
  return static_cast<double>(units) / static_cast<double>(total_quota_units) * limit;
}
/// The least number of units that cover an amount, all of them at the most; 0 where there is no
/// limit.
uint64_t units_covering(double amount, double limit);

}  // namespace damsonport
