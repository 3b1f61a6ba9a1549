#include "coordination/replicas/replica_state.hpp"

#include <algorithm>
#include <array>

namespace damsonport::replicas {

std::string_view name_of(ReplicaState state) {
  static constexpr std::array<std::string_view, 6> names = {"queued",   "starting", "ready",
                                                            "degraded", "stopping", "repairing"};
  return names[static_cast<size_t>(state)];
}

Readiness judge_readiness(const std::vector<PartStatus>& parts, double now, double max_age_s) {
  if (parts.empty()) return {};
  Readiness readiness{true, parts.front().attempt, now};
  for (const auto& part : parts) {
    const bool counts = part.placed && part.running && part.attempt == readiness.attempt;
    if (!counts || now - part.as_of > max_age_s) return {};
    readiness.as_of = std::min(readiness.as_of, part.as_of);
  }
  return readiness;
}

ReplicaState replica_state(const ReplicaObservation& observation) {
  const GangStatus& gang = observation.gang;
  const bool first_attempt = observation.last_attempt <= 1;
  if (gang.live == 0)
    return observation.last_attempt == 0 ? ReplicaState::queued : ReplicaState::repairing;
  if (gang.stopping || gang.broken) return ReplicaState::stopping;
  if (observation.ready) return ReplicaState::ready;
  if (gang.has_run) return ReplicaState::degraded;
  return first_attempt ? ReplicaState::starting : ReplicaState::repairing;
}

}  // namespace damsonport::replicas
