#include "config/state_limits.hpp"

#include <algorithm>

namespace damsonport {

StateLimitSettings::StateLimitSettings(const StateLimits& present, const StateLimits& announced)
    : present_(present), minimum_(present) {
  minimum_.requests_per_s = std::min(present.requests_per_s, announced.requests_per_s);
  minimum_.writes_per_s = std::min(present.writes_per_s, announced.writes_per_s);
  minimum_.value_kb = std::min(present.value_kb, announced.value_kb);
  minimum_.txn_writes = std::min(present.txn_writes, announced.txn_writes);
}

}  // namespace damsonport
