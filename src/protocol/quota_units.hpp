/// Quota units: fixed fractions of a team's quota limit. A region's quota is recorded in units, so
/// that it stays the same share of the limit when the limit changes.
#pragma once
#include <cstdint>

namespace damsonport {

/// Number of units into which a limit is divided. Every region starts with some of the units;
/// afterwards units are only transferred between regions, never created or removed.
inline constexpr uint64_t total_quota_units = uint64_t{1} << 40;

/// Units of a team's limit on CPUs and of its limit on GPUs.
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

/// Returns the maximum of `a` and `b` for each resource.
inline QuotaUnits elementwise_max(const QuotaUnits& a, const QuotaUnits& b) {
  return {a.cpus > b.cpus ? a.cpus : b.cpus, a.gpus > b.gpus ? a.gpus : b.gpus};
}

/// Returns a - b, or 0 if the difference would be negative.
inline uint64_t saturating_difference(uint64_t a, uint64_t b) { return a > b ? a - b : 0; }

/// Converts units of a limit to an amount in the unit of the limit (CPUs or GPUs).
inline double amount_of(uint64_t units, double limit) {
  return static_cast<double>(units) / static_cast<double>(total_quota_units) * limit;
}
/// Returns the smallest number of units that covers an amount, at most `total_quota_units`. Returns
/// 0 if `limit` is 0, which means that there is no limit.
uint64_t units_covering(double amount, double limit);

}  // namespace damsonport
