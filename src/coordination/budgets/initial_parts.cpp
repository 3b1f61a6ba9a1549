#include "coordination/budgets/initial_parts.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace damsonport::budgets {

namespace {

// Whole units by share; what is left of a limit that isn't whole goes to the first that has any.
std::vector<double> divide_amount(double amount, const std::vector<Region>& regions) {
  const double whole = std::floor(amount + 1e-9);
  std::vector<double> out;
  for (uint64_t units : divide_by_share(static_cast<uint64_t>(whole), regions))
    out.push_back(static_cast<double>(units));
  auto first = std::find_if(regions.begin(), regions.end(), [](auto& r) { return r.share > 0; });
  out[static_cast<size_t>(first - regions.begin())] += std::max(amount - whole, 0.0);
  return out;
}

}  // namespace

std::vector<uint64_t> initial_parts(double limit, const std::vector<Region>& regions) {
  std::vector<uint64_t> parts(regions.size());
  if (limit <= 0) return parts;
  // Differences of rounded sums, so that all of them add up to all parts exactly.
  double sum = 0;
  uint64_t before = 0;
  const auto amounts = divide_amount(limit, regions);
  for (size_t i = 0; i < regions.size(); ++i) {
    sum += amounts[i];
    const bool last = i + 1 == regions.size();
    const auto upto =
        last ? all_parts
             : static_cast<uint64_t>(std::llround(sum / limit * static_cast<double>(all_parts)));
    parts[i] = upto - before;
    before = upto;
  }
  return parts;
}

std::vector<double> guarantee_shares(double guarantee, double limit,
                                     const std::vector<Region>& regions) {
  auto shares = divide_amount(guarantee, regions);
  if (limit <= 0) return shares;
  const auto limits = divide_amount(limit, regions);
  for (size_t i = 0; i < shares.size(); ++i) shares[i] = std::min(shares[i], limits[i]);
  return shares;
}

namespace {
double of_others(const std::vector<double>& shares, size_t own) {
  return std::accumulate(shares.begin(), shares.end(), 0.0) - shares[own];
}
}  // namespace

void keep_guarantees_elsewhere(Settings& settings, const RegionSettings& regions) {
  const size_t own = regions.own_index;
  for (auto& team : settings.teams) {
    team.cpus_elsewhere =
        of_others(guarantee_shares(team.cpus, team.cpus_max, regions.regions), own);
    team.gpus_elsewhere =
        of_others(guarantee_shares(team.gpus, team.gpus_max, regions.regions), own);
  }
}

}  // namespace damsonport::budgets
