/// Measures the resources that the teams use and need in this region, from the job records. Pure
/// functions.
#pragma once
#include <map>
#include <string>

#include "coordination/scheduling/scheduler.hpp"
#include "storage/record_cache.hpp"

namespace damsonport::quotas {

/// Use and need of one team in CPUs, accelerators and GB of memory.
struct TeamDemand {
  scheduling::Resources used;         ///< by tasks that the records place on machines
  scheduling::Resources urgent_need;  ///< of pending tasks of high priority or above
  scheduling::Resources need;         ///< of all pending tasks
  /// For each resource, the smallest amount above 0 that a pending task needs; 0: no pending task
  /// needs the resource.
  scheduling::Resources smallest_need;
};

/// The demand of each team, by team.
using Demands = std::map<std::string, TeamDemand>;

/// Measures all teams that have an unfinished job.
Demands measure_demands(const RecordCache& cache);

}  // namespace damsonport::quotas
