/// The functions that the load tool's child processes run; together they emulate everything that
/// real controllers talk to. Each runs its event loop until the command "finish" arrives, sends a
/// report to the parent once a second, and a final report with all measurements at the end.
#pragma once
#include "child_process.hpp"
#include "experiment_plan.hpp"
#include "team_usage.hpp"

namespace damsonport::loadtest {

/// One region's simulated key-value store. Also reports each change of the shard leader ("holder"
/// in messages); the final report has the quota records ("budgets").
void run_key_value_store(const ExperimentPlan& plan, size_t region, ParentChannel& parent);
/// One region's simulated cloud, workers and users. `usage` is shared with the other regions'
/// processes.
void run_region(const ExperimentPlan& plan, size_t region, TeamUsage& usage, ParentChannel& parent);
/// The network between regions: delays the bytes, counts them, and cuts links on command.
void run_region_links(const ExperimentPlan& plan, ParentChannel& parent);

}  // namespace damsonport::loadtest
