/// Random lines of scenarios in which requests that were carried out and answered arrive once more.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace damsonport::simulation {

/// Whether a random scenario repeats requests. Seeds that failed before there were copies are
/// played without them, as they were then.
enum class RepeatedRequests : uint8_t { none, drawn };

/// Returns the lines for this seed. They don't depend on the other lines of its scenario.
std::vector<std::string> random_copies(uint64_t seed);

}  // namespace damsonport::simulation
