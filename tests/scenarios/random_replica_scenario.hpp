// Scenarios drawn from a seed: replicas of several parts under faults of every kind.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace damsonport::simulation {

std::vector<std::string> random_replica_scenario(uint64_t seed);

}  // namespace damsonport::simulation
