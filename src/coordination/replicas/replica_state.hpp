// The state of a replica of several parts, and whether it is ready. Pure: what is known of the
// parts and the time are passed in.
#pragma once
#include <cstdint>
#include <string_view>
#include <vector>

#include "coordination/scheduling/gangs.hpp"

namespace damsonport::replicas {

enum class ReplicaState : uint8_t {
  queued,     // never started
  starting,   // its first attempt is on the way
  ready,      // all parts run under one attempt, by recent reports
  degraded,   // it may have been ready, and a part is lost or not heard of
  stopping,   // its attempt is over, and some part is not proven gone yet
  repairing,  // a later attempt waits for its start, or is on the way
};
std::string_view name_of(ReplicaState state);

// What is known of one part.
struct PartStatus {
  bool placed = false;  // by the records
  uint64_t attempt = 0;
  bool running = false;  // by the newest message of its machine
  double as_of = 0;      // that was true at this time or later
};

struct Readiness {
  bool ready = false;
  uint64_t attempt = 0;
  double as_of = 0;  // the oldest of what it rests on
};

// All `parts` run under one attempt, by messages no older than `most_age_s`. What is not known is
// not ready.
Readiness judge_readiness(const std::vector<PartStatus>& parts, double now, double most_age_s);

struct ReplicaStanding {
  GangStatus gang;
  uint64_t last_attempt = 0;  // of its records; 0: never started
  bool ready = false;
};

ReplicaState replica_state(const ReplicaStanding& standing);

}  // namespace damsonport::replicas
