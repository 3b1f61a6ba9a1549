/// How a team's quota limit and its guaranteed quota are divided among regions before any transfer.
/// Pure.
#pragma once
#include <vector>

#include "config/region_settings.hpp"
#include "protocol/quota_units.hpp"

namespace damsonport::quotas {

/// The quota units of a limit that each region starts with, by the order of the regions file;
/// together `total_quota_units` exactly. They depend on the shares alone, since regions may write
/// their first records under different limits.
std::vector<uint64_t> initial_units(const std::vector<Region>& regions);

/// Each region's share of a guarantee (CPUs or accelerators), in whole ones where there are as
/// many; together the guarantee.
std::vector<double> guarantee_shares(double guarantee, const std::vector<Region>& regions);

/// Notes in each team's settings what other regions keep of its limit, so that the admission check
/// refuses a job that can never run in this region.
void keep_guarantees_elsewhere(Settings& settings, const RegionSettings& regions);

}  // namespace damsonport::quotas
