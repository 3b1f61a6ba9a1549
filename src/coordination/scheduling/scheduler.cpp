#include "coordination/scheduling/scheduler.hpp"

#include "coordination/scheduling/scheduling_cycle.hpp"

namespace damsonport::scheduling {

Decisions schedule(const SchedulerSnapshot& snapshot) { return SchedulingCycle(snapshot).run(); }

}  // namespace damsonport::scheduling
