/// What the teams use and need in this region, from the records. Pure.
#pragma once
#include <map>
#include <string>

#include "coordination/scheduling/scheduler.hpp"
#include "storage/record_cache.hpp"

namespace damsonport::quotas {

/// CPUs, accelerators and GB of memory of one team.
struct TeamDemand {
  scheduling::Resources used;         ///< Of tasks that the records place on machines.
  scheduling::Resources urgent_need;  ///< Of pending tasks of high priority or above.
  scheduling::Resources need;         ///< Of all pending tasks.
  /// Of each resource the least that a pending task needs; 0: no pending task needs any.
  scheduling::Resources smallest_need;
};

using Demands = std::map<std::string, TeamDemand>;  // by team

/// Teams without any unfinished job are left out.
Demands measure_demands(const RecordCache& cache);

}  // namespace damsonport::quotas
