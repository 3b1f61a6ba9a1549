// How a limit and a guarantee are divided before anything is moved. Pure.
#pragma once
#include <vector>

#include "protocol/budget_parts.hpp"
#include "protocol/region_settings.hpp"

namespace damsonport::budgets {

// The parts of a limit that each region starts with, all of them together. They are worth whole
// units where the limit has as many, since tasks mostly need whole ones.
std::vector<uint64_t> initial_parts(double limit, const std::vector<Region>& regions);

// Each region's share of a guarantee, in the unit of the limit, together the guarantee at the most.
// None is more than the region's initial part of the limit (0: no limit).
std::vector<double> guarantee_shares(double guarantee, double limit,
                                     const std::vector<Region>& regions);

// Notes in each team's settings what other regions keep of its limit, so that a job that can never
// run in this region is refused.
void keep_guarantees_elsewhere(Settings& settings, const RegionSettings& regions);

}  // namespace damsonport::budgets
