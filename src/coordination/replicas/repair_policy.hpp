// How many replicas are repaired at a time, which ones, and when one that failed is tried again.
// Pure.
#pragma once
#include <cstddef>
#include <vector>

#include "config/replica_settings.hpp"

namespace damsonport::replicas {

// Seconds to the next try after so many failed attempts in a row; doubles with each, up to a limit.
// `jitter`: from 0 to 1, so that replicas that failed together aren't all tried together again.
double backoff_s(const ReplicaPolicy& policy, int failures, double lease_s, double jitter);

// A replica whose attempt is over and gone.
struct RepairCandidate {
  double backoff_until = 0;
  double offered_at = 0;  // when it was last given its turn
  bool offered = false;   // it has its turn now
};

// The places in `candidates` of those that may be started now. A turn lasts `turn_s`; after it
// others have theirs, so that one for which there is no room doesn't keep the rest waiting.
std::vector<size_t> choose_repairs(const std::vector<RepairCandidate>& candidates,
                                   size_t under_repair, size_t most, double now, double turn_s);

}  // namespace damsonport::replicas
