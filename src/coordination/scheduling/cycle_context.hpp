/// The state that the placement components of one scheduling cycle share.
#pragma once
#include <cstdint>

#include "coordination/scheduling/cycle_state.hpp"
#include "coordination/scheduling/feasibility.hpp"
#include "coordination/scheduling/queue_order.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "coordination/scheduling/scoring.hpp"

namespace damsonport::scheduling {

/// References to the snapshot and to members of the SchedulingCycle. Valid as long as the
/// SchedulingCycle exists.
struct CycleContext {
  const SchedulerSnapshot& snapshot;
  const QueueOrder& queue;
  const Feasibility& feasibility;
  const Scorer& scorer;
  CycleState& state;
  Decisions& decisions;

  /// Adds reports of pending tasks: `unplaced` tasks lack capacity, and for `pending` tasks
  /// capacity is being freed.
  void report_unschedulable(JobIndex job, uint32_t unplaced, uint32_t pending) const {
    const bool within_guarantee = queue.within_guarantee(job);
    if (unplaced > 0)
      decisions.unschedulable.push_back({.job = job,
                                         .count = unplaced,
                                         .within_guarantee = within_guarantee,
                                         .capacity_pending = false,
                                         .missing = unplaced});
    if (pending > 0)
      decisions.unschedulable.push_back({.job = job,
                                         .count = pending,
                                         .within_guarantee = within_guarantee,
                                         .capacity_pending = true,
                                         .missing = pending});
  }
};

}  // namespace damsonport::scheduling
