/// One scheduling cycle: decides for one pending job after the other, the most urgent first.
///
/// The work is divided by concern. QueueOrder: who is next. Feasibility: hard constraints. Scorer:
/// soft preferences. Preemptor and PendingCapacity: capacity that is not free yet. TaskPlacer and
/// GangPlacer: the decision itself. CycleState: what was decided so far.
#pragma once
#include "coordination/scheduling/cycle_context.hpp"
#include "coordination/scheduling/gang_placement.hpp"
#include "coordination/scheduling/pending_capacity.hpp"
#include "coordination/scheduling/preemption.hpp"
#include "coordination/scheduling/task_placement.hpp"

namespace damsonport::scheduling {

/// Used once. The snapshot has to outlive it and must not change meanwhile.
class SchedulingCycle {
 public:
  explicit SchedulingCycle(const SchedulerSnapshot& snapshot);
  // The parts hold references to each other.
  SchedulingCycle(const SchedulingCycle&) = delete;
  SchedulingCycle& operator=(const SchedulingCycle&) = delete;

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
  TaskPlacer tasks_;
  GangPlacer gangs_;
};

}  // namespace damsonport::scheduling
