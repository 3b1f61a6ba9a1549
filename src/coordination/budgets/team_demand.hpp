// What the teams use and want in this region, from the records. Pure.
#pragma once
#include <map>
#include <string>

#include "coordination/placement.hpp"
#include "storage/cache.hpp"

namespace damsonport::budgets {

struct TeamDemand {
  placing::Amounts used;         // by tasks that the records place on machines
  placing::Amounts urgent_need;  // of waiting tasks of an urgent rank
  placing::Amounts need;         // of all waiting tasks
  placing::Amounts smallest;     // the least of each resource that one waiting task needs; 0: none
};

using Demands = std::map<std::string, TeamDemand>;  // by team

// Teams without any unfinished job are left out.
Demands measure_demands(const RecordCache& cache);

}  // namespace damsonport::budgets
