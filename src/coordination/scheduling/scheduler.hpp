/// Entry point of the scheduler. A scheduling cycle decides which pending tasks start on which
/// machines and which running tasks are preempted for them. The decisions depend on the snapshot
/// alone; no state is kept between two cycles.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// Decision to start one pending task of a job on a machine.
struct Placement {
  JobIndex job;
  MachineIndex machine;
};

/// Decision to start all pending tasks of a gang together.
struct GangPlacement {
  JobIndex job;
  std::vector<MachineIndex> machines;  ///< one entry per task
};

/// Decision to stop a running task in order to free capacity.
struct Preemption {
  MachineIndex machine;
  size_t running_task_index = 0;  ///< index in MachineSnapshot::running_tasks
  double grace_s = 0;             ///< time to save its state; 0: no grace period
};

/// Pending tasks of a job that can't start in this cycle because capacity is lacking. Tasks that
/// only exceed the quota limit of their team are not reported.
struct UnschedulableTasks {
  JobIndex job;
  uint32_t count = 0;
  bool within_guarantee = false;  ///< within the team's guaranteed quota
  bool capacity_pending = false;  ///< capacity is being freed for these tasks
  /// Number of these tasks that lack capacity. For a gang this can be less than `count`, because
  /// all its tasks stay pending as long as one of them lacks capacity.
  uint32_t missing = 0;
  /// For a gang, the only zone in which new capacity would let the gang start. `any_zone`: not
  /// restricted to one zone.
  NameId zone = any_zone;
  bool one_zone = false;  ///< all tasks of the gang must run in one zone
};

/// The outcome of a scheduling cycle. Indexes refer to the snapshot that was passed to schedule().
struct Decisions {
  std::vector<Placement> placements;
  std::vector<GangPlacement> gang_placements;
  std::vector<Preemption> preemptions;
  std::vector<UnschedulableTasks> unschedulable;
  /// Number of times that a machine was examined for a job; measures the cost of the cycle.
  size_t machines_examined = 0;
};

/// Runs one scheduling cycle on the snapshot.
[[nodiscard]] Decisions schedule(const SchedulerSnapshot& snapshot);

}  // namespace damsonport::scheduling
