/// The state of a replica of several parts, and whether it is ready. Pure: what is known of the
/// parts and the time are passed in. Times are in seconds on the loop's steady clock.
#pragma once
#include <cstdint>
#include <string_view>
#include <vector>

#include "coordination/scheduling/gangs.hpp"

namespace damsonport::replicas {

enum class ReplicaState : uint8_t {
  queued,     ///< Never started.
  starting,   ///< Its first attempt has been started and isn't ready yet.
  ready,      ///< All parts run under one attempt, by recent heartbeats.
  degraded,   ///< It may have been ready, and a part is lost or without recent heartbeats.
  stopping,   ///< Its attempt is over, and some part may still run.
  repairing,  ///< A later attempt is pending, or has been started and isn't ready yet.
};
/// As in the status of a job.
std::string_view name_of(ReplicaState state);

/// What is known of one part.
struct PartStatus {
  bool placed = false;   ///< By the records.
  uint64_t attempt = 0;  ///< 0: none.
  bool running = false;  ///< By the newest heartbeat of its machine.
  double as_of = 0;      ///< That was true at this time or later.
};

/// Readiness of a replica; the other fields count only where it is ready.
struct Readiness {
  bool ready = false;
  uint64_t attempt = 0;  ///< Of all parts.
  double as_of = 0;      ///< The oldest time at which a part was known to run.
};

/// Ready: all `parts` run under one attempt, by heartbeats no older than `max_age_s`. What is not
/// known is not ready.
Readiness judge_readiness(const std::vector<PartStatus>& parts, double now, double max_age_s);

/// What the state of a replica follows from.
struct ReplicaObservation {
  GangStatus gang;
  uint64_t last_attempt = 0;  ///< Of its records; 0: never started.
  bool ready = false;         ///< By judge_readiness.
};

ReplicaState replica_state(const ReplicaObservation& observation);

}  // namespace damsonport::replicas
