#include "coordination/quotas/initial_units.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace damsonport::quotas {

namespace {
/// Tolerance for the rounding error of a guarantee that is a sum of decimal fractions, in CPUs or
/// accelerators.
constexpr double rounding_tolerance = 1e-9;

// Sum of all shares except the one of region `own`.
double sum_of_others(const std::vector<double>& shares, size_t own) {
  return std::accumulate(shares.begin(), shares.end(), 0.0) - shares[own];
}
}  // namespace

std::vector<uint64_t> initial_units(const std::vector<Region>& regions) {
  uint64_t shares = 0;
  for (auto& region : regions) shares += region.share;
  // The units are differences of rounded cumulative sums, so their sum is exactly all units. The
  // quotient and the remainder are multiplied separately, since the product of all units and a sum
  // of shares may exceed 64 bits.
  const uint64_t quotient = total_quota_units / shares;
  const uint64_t remainder = total_quota_units % shares;
  std::vector<uint64_t> units;
  uint64_t sum = 0;
  uint64_t before = 0;
  for (auto& region : regions) {
    sum += region.share;
    const uint64_t cumulative = quotient * sum + remainder * sum / shares;
    units.push_back(cumulative - before);
    before = cumulative;
  }
  return units;
}

std::vector<double> guarantee_shares(double guarantee, const std::vector<Region>& regions) {
  const double whole = std::floor(guarantee + rounding_tolerance);
  std::vector<double> out;
  for (uint64_t units : divide_by_share(static_cast<uint64_t>(whole), regions))
    out.push_back(static_cast<double>(units));
  // The fractional part of the guarantee goes to the first region with a share above 0.
  auto first = std::find_if(regions.begin(), regions.end(), [](auto& r) { return r.share > 0; });
  out[static_cast<size_t>(first - regions.begin())] += std::max(guarantee - whole, 0.0);
  return out;
}

void set_guarantees_elsewhere(Settings& settings, const RegionSettings& regions) {
  const size_t own = regions.own_index;
  for (auto& team : settings.teams) {
    team.cpus_elsewhere = sum_of_others(guarantee_shares(team.cpus, regions.regions), own);
    team.gpus_elsewhere = sum_of_others(guarantee_shares(team.gpus, regions.regions), own);
  }
}

}  // namespace damsonport::quotas
