/// Clients that send malformed, half-sent, slow and reset requests to all controllers of a region,
/// and measure meanwhile whether the controllers answer health checks.
#pragma once
#include "child_process.hpp"
#include "experiment_plan.hpp"

namespace damsonport::loadtest {

/// Body of the child process. Sends until the command "finish" arrives, then one message of the
/// kind "final" with the counts: "requests", "health_checks" and, of these, "late_health_checks",
/// which were not answered within a second by a controller that accepts connections.
void run_malformed_clients(const ExperimentPlan& plan, size_t region, ParentChannel& parent);

}  // namespace damsonport::loadtest
