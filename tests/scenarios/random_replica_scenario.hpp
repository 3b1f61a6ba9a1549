/// Generates random fault scenarios with replicas of several parts.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "scenarios/random_copies.hpp"

namespace damsonport::simulation {

/// Returns the lines of the scenario of this seed, in the language of the traces.
std::vector<std::string> random_replica_scenario(uint64_t seed, RepeatedRequests copies);

}  // namespace damsonport::simulation
