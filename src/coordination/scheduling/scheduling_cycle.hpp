/// One scheduling cycle: makes the decisions for the pending jobs one by one, the most urgent
/// first.
///
/// QueueOrder sorts the pending jobs. Feasibility checks hard constraints, and Scorer rates
/// machines by soft preferences. Preemptor and PendingCapacity reserve capacity that is not free
/// yet. TaskPlacer and GangPlacer make the decisions. CycleState tracks the capacity and quotas
/// that the decisions of the cycle have used.
#pragma once
#include "coordination/scheduling/cycle_context.hpp"
#include "coordination/scheduling/gang_placement.hpp"
#include "coordination/scheduling/pending_capacity.hpp"
#include "coordination/scheduling/preemption.hpp"
#include "coordination/scheduling/task_placement.hpp"

namespace damsonport::scheduling {

/// Each object runs a single cycle. The snapshot has to outlive the object and must not change
/// during the cycle.
class SchedulingCycle {
 public:
  explicit SchedulingCycle(const SchedulerSnapshot& snapshot);
  // Not copyable because the members hold references to each other.
  SchedulingCycle(const SchedulingCycle&) = delete;
  SchedulingCycle& operator=(const SchedulingCycle&) = delete;

  /// Runs the cycle. May be called once.
  [[nodiscard]] Decisions run();

 private:
  void begin_job(JobIndex job);

  const SchedulerSnapshot& snapshot_;
  QueueOrder queue_;
  CycleState state_;
  Feasibility feasibility_;
  Scorer scorer_;
  Decisions decisions_;
  CycleContext context_;
  Preemptor preemptor_;
  PendingCapacity pending_capacity_;
  TaskPlacer task_placer_;
  GangPlacer gang_placer_;
};

}  // namespace damsonport::scheduling
