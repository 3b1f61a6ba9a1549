/// Policy for repairing replicas: how many are repaired at the same time, which ones, and when a
/// failed replica is started again. Pure functions; all times are in seconds.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "config/replica_settings.hpp"

namespace damsonport::replicas {

/// Retry delay after `failures` failed attempts in a row; doubles with each failure, up to the
/// policy's limit. `jitter`: a random value from 0 to 1 drawn by the caller, so that replicas that
/// failed together aren't all started again together. `lease_s`: duration of a worker lease.
double backoff_s(const ReplicaPolicy& policy, int failures, double lease_s, double jitter);

/// A replica whose attempt is over and has no task left. Candidates take turns: a candidate may be
/// started only during its turn.
struct RepairCandidate {
  double backoff_until = 0;          ///< no start before this time
  std::optional<double> granted_at;  ///< start of the last turn; empty before the first
  bool granted = false;              ///< the last turn has not been revoked
};

/// Whether the candidate's turn, of `turn_s` seconds, is in progress at the time `now`.
bool has_turn(const RepairCandidate& candidate, double now, double turn_s);

/// Chooses the candidates that may be started now, as indices into `candidates`: at most
/// `max_repairs` minus `under_repair` of them. A turn lasts `turn_s`; then other candidates get a
/// turn, so that a replica for which there is no capacity doesn't block the rest.
std::vector<size_t> choose_repairs(const std::vector<RepairCandidate>& candidates,
                                   size_t under_repair, size_t max_repairs, double now,
                                   double turn_s);

}  // namespace damsonport::replicas
