/// Divides a team's quota limit and its guaranteed quota among regions, as they are before any
/// transfer. Pure functions.
#pragma once
#include <vector>

#include "config/region_settings.hpp"
#include "protocol/quota_units.hpp"

namespace damsonport::quotas {

/// The quota units of a limit that each region starts with, in the order of the regions file. Their
/// sum is exactly `total_quota_units`. They depend only on the regions' shares, since regions may
/// write their first records under different limits. At least one share must be above 0.
std::vector<uint64_t> initial_units(const std::vector<Region>& regions);

/// Each region's share of a guaranteed quota (CPUs or accelerators), in the order of the regions
/// file. The shares are whole numbers, except that one region also gets the guarantee's fraction;
/// their sum is the guarantee.
std::vector<double> guarantee_shares(double guarantee, const std::vector<Region>& regions);

/// Sets in each team's settings the part of its limit that other regions keep as guaranteed quota,
/// so that the admission check rejects a job that can never run in this region.
void set_guarantees_elsewhere(Settings& settings, const RegionSettings& regions);

}  // namespace damsonport::quotas
