/// State and readiness of a replica of several parts. Pure functions of the status of the parts and
/// the time. Times are in seconds on the loop's steady clock.
#pragma once
#include <cstdint>
#include <string_view>
#include <vector>

#include "coordination/scheduling/gangs.hpp"

namespace damsonport::replicas {

/// State of a replica. The replica manager logs changes of the state; the status of a job that
/// users request doesn't contain it.
enum class ReplicaState : uint8_t {
  queued,     ///< never started
  starting,   ///< the first attempt has been started and isn't ready yet
  ready,      ///< all parts run under one attempt, by recent heartbeats
  degraded,   ///< may have been ready; a part is lost or has no recent heartbeat
  stopping,   ///< the attempt is over, and some part may still run
  repairing,  ///< a later attempt is pending, or is started and isn't ready yet
};
/// The state's name in the log.
std::string_view name_of(ReplicaState state);

/// Status of one part of a replica, by the records and heartbeats.
struct PartStatus {
  bool placed = false;   ///< by the records
  uint64_t attempt = 0;  ///< 0: none
  bool running = false;  ///< by the newest heartbeat of its machine
  double as_of = 0;      ///< the part had this status at this time or later
};

/// Readiness of a replica; the other fields are valid only if `ready` is true.
struct Readiness {
  bool ready = false;
  uint64_t attempt = 0;  ///< of all parts
  double as_of = 0;      ///< smallest `as_of` of the parts
};

/// A replica is ready if all `parts` run under one attempt, by heartbeats no older than
/// `max_age_s`. A part of unknown status is not running.
Readiness judge_readiness(const std::vector<PartStatus>& parts, double now, double max_age_s);

/// The inputs that determine the state of a replica.
struct ReplicaObservation {
  GangStatus gang;
  uint64_t last_attempt = 0;  ///< by the records; 0: never started
  bool ready = false;         ///< by judge_readiness()
};

/// The state that follows from the inputs.
ReplicaState replica_state(const ReplicaObservation& observation);

}  // namespace damsonport::replicas
