// How a limit and a guarantee are divided before anything is moved. Pure.
#pragma once
#include <vector>

#include "config/region_settings.hpp"
#include "protocol/quota_units.hpp"

namespace damsonport::quotas {

// The parts of a limit that each region starts with, together all parts exactly. They depend on the
// shares alone: regions may write their first records under different limits.
std::vector<uint64_t> initial_units(const std::vector<Region>& regions);

// Each region's share of a guarantee, in whole units where there are as many, together the
// guarantee.
std::vector<double> guarantee_shares(double guarantee, const std::vector<Region>& regions);

// Notes in each team's settings what other regions keep of its limit, so that a job that can never
// run in this region is refused.
void keep_guarantees_elsewhere(Settings& settings, const RegionSettings& regions);

}  // namespace damsonport::quotas
