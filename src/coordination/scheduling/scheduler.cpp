#include "coordination/scheduling/scheduler.hpp"

#include "coordination/scheduling/scheduling_cycle.hpp"

namespace damsonport::scheduling {

Decisions place(const SchedulerSnapshot& snapshot) { return SchedulingCycle(snapshot).run(); }

}  // namespace damsonport::scheduling
