// What the teams use and want in this region, from the records. Pure.
#pragma once
#include <map>
#include <string>

#include "coordination/scheduling/scheduler.hpp"
#include "storage/record_cache.hpp"

namespace damsonport::quotas {

struct TeamDemand {
  scheduling::Resources used;         // by tasks that the records place on machines
  scheduling::Resources urgent_need;  // of waiting tasks of an urgent rank
  scheduling::Resources need;         // of all waiting tasks
  scheduling::Resources
      smallest;  // the least of each resource that one waiting task needs; 0: none
};

using Demands = std::map<std::string, TeamDemand>;  // by team

// Teams without any unfinished job are left out.
Demands measure_demands(const RecordCache& cache);

}  // namespace damsonport::quotas
