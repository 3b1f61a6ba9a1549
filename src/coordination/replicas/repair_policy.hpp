/// How many replicas are repaired at a time, which ones, and when one that failed is tried again.
/// Pure; all times in seconds.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "config/replica_settings.hpp"

namespace damsonport::replicas {

/// Pause before the next try after so many failed attempts in a row; doubles with each, up to the
/// policy's limit. `jitter`: from 0 to 1, drawn by the caller, so that replicas that failed
/// together aren't all tried together again.
double backoff_s(const ReplicaPolicy& policy, int failures, double lease_s, double jitter);

/// A replica whose attempt is over, with no task left of it.
struct RepairCandidate {
  double backoff_until = 0;          ///< No start before this time.
  std::optional<double> granted_at;  ///< When its last turn began; empty: it had none yet.
  bool granted = false;              ///< Its last turn has not been taken back.
};

/// The candidate has its turn at this time.
bool has_turn(const RepairCandidate& candidate, double now, double turn_s);

/// Indices in `candidates` of those that may be started now: `max_repairs` less those under repair.
/// A turn lasts `turn_s`; after it others have theirs, so that one for which there is no capacity
/// doesn't keep the rest waiting.
std::vector<size_t> choose_repairs(const std::vector<RepairCandidate>& candidates,
                                   size_t under_repair, size_t max_repairs, double now,
                                   double turn_s);

}  // namespace damsonport::replicas
