// The bodies of the emulator's processes. Each runs its loop until it is told to finish, reports
// once a second, and once more at the end with all that it has measured.
#pragma once
#include "child_process.hpp"
#include "experiment_plan.hpp"
#include "team_usage.hpp"

namespace damsonport::loadtest {

// One region's state service. Reports each change of the holder, and at the end the budgets.
void run_key_value_store(const ExperimentPlan& plan, size_t region, ParentChannel& parent);
// One region's cloud, hollow workers and users.
void run_region(const ExperimentPlan& plan, size_t region, TeamUsage& usage, ParentChannel& parent);
// The network between regions: delays, cuts, and counts bytes.
void run_region_links(const ExperimentPlan& plan, ParentChannel& parent);

}  // namespace damsonport::loadtest
