// A scenario drawn at random from all troubles, as lines of a trace.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace damsonport::simulation {

std::vector<std::string> random_scenario(uint64_t seed);

}  // namespace damsonport::simulation
