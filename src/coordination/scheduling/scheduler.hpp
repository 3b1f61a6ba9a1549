/// The scheduler: decides which pending tasks start on which machines, and which running tasks are
/// preempted for them. A pure function of its input; nothing is kept between two calls.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// One task of the job placements on the machine.
struct Placement {
  JobIndex job;
  MachineIndex machine;
};

/// All pending tasks of a gang start together.
struct GangPlacement {
  JobIndex job;
  std::vector<MachineIndex> machines;  ///< one entry a task
};

/// A running task is stopped to free capacity.
struct Preemption {
  MachineIndex machine;
  size_t running_task_index = 0;  ///< position in the machine's list of running tasks
  double grace_s = 0;             ///< time it gets to save its state; 0: it is stopped at once
};

/// Pending tasks of a job that don't start now for want of capacity. Tasks that their team's quota
/// limit holds back are not reported.
struct UnschedulableTasks {
  JobIndex job;
  uint32_t count = 0;
  bool within_guarantee = false;  ///< within the team's guaranteed quota
  bool capacity_pending = false;  ///< capacity for them is being freed already
  /// How many of them lack capacity. Fewer than `count` for a gang, which is pending as a whole.
  uint32_t missing = 0;
  /// Of a gang: the only zone in which new capacity helps it.
  NameId zone = any_zone;
  bool one_zone = false;  ///< the gang has to be in one zone
};

struct Decisions {
  std::vector<Placement> placements;
  std::vector<GangPlacement> gang_placements;
  std::vector<Preemption> preemptions;
  std::vector<UnschedulableTasks> unschedulable;
  /// How often a machine was examined for a task: a measure of the work of the cycle.
  size_t machines_examined = 0;
};

/// Runs one scheduling cycle.
[[nodiscard]] Decisions schedule(const SchedulerSnapshot& snapshot);

}  // namespace damsonport::scheduling
