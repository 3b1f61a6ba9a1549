#include "coordination/quotas/initial_units.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace damsonport::quotas {

std::vector<uint64_t> initial_units(const std::vector<Region>& regions) {
  uint64_t shares = 0;
  for (auto& region : regions) shares += region.share;
  // Differences of rounded sums, so that all of them add up to all parts. The quotient and the rest
  // are multiplied apart, since the product with all parts needn't fit into 64 bits.
  const uint64_t quotient = all_quota_units / shares, rest = all_quota_units % shares;
  std::vector<uint64_t> units;
  uint64_t sum = 0, before = 0;
  for (auto& region : regions) {
    sum += region.share;
    const uint64_t upto = quotient * sum + rest * sum / shares;
    units.push_back(upto - before);
    before = upto;
  }
  return units;
}

std::vector<double> guarantee_shares(double guarantee, const std::vector<Region>& regions) {
  const double whole = std::floor(guarantee + 1e-9);
  std::vector<double> out;
  for (uint64_t units : divide_by_share(static_cast<uint64_t>(whole), regions))
    out.push_back(static_cast<double>(units));
  // What is left of one that isn't whole goes to the first region that has any share.
  auto first = std::find_if(regions.begin(), regions.end(), [](auto& r) { return r.share > 0; });
  out[static_cast<size_t>(first - regions.begin())] += std::max(guarantee - whole, 0.0);
  return out;
}

namespace {
double of_others(const std::vector<double>& shares, size_t own) {
  return std::accumulate(shares.begin(), shares.end(), 0.0) - shares[own];
}
}  // namespace

void keep_guarantees_elsewhere(Settings& settings, const RegionSettings& regions) {
  const size_t own = regions.own_index;
  for (auto& team : settings.teams) {
    team.cpus_elsewhere = of_others(guarantee_shares(team.cpus, regions.regions), own);
    team.gpus_elsewhere = of_others(guarantee_shares(team.gpus, regions.regions), own);
  }
}

}  // namespace damsonport::quotas
