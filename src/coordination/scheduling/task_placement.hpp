/// Placement of jobs that are not gangs: their tasks start independently of each other.
#pragma once
#include <cstdint>

#include "coordination/scheduling/cycle_context.hpp"
#include "coordination/scheduling/equivalence_class.hpp"
#include "coordination/scheduling/pending_capacity.hpp"

namespace damsonport::scheduling {

/// Used for one scheduling cycle.
class TaskPlacer {
 public:
  TaskPlacer(const CycleContext& context, PendingCapacity& pending_capacity)
      : context_(context), pending_capacity_(pending_capacity), classes_(context.snapshot) {}

  /// Starts as many pending tasks of the job as fit into free capacity, reserves pending capacity
  /// for the others, and reports the tasks that don't start in this cycle.
  void place(JobIndex job);

 private:
  struct Candidate;
  class CandidateHeap;
  struct Progress {
    uint32_t started = 0;
    uint32_t reserved = 0;  // part of `started`: capacity with the image is reserved
  };
  /// Scores the machines once for the whole job. A start changes only the score of its own machine;
  /// zone constraints, which it may change for other machines, are checked again before each start.
  Progress place_on_free_capacity(JobIndex job);
  [[nodiscard]] CandidateHeap score_candidates(JobIndex job);
  bool reserve_with_cached_image(JobIndex job, const Candidate& best);
  void reserve_pending_capacity(JobIndex job, uint32_t unplaced, uint32_t reserved);

  const CycleContext context_;
  PendingCapacity& pending_capacity_;
  UnschedulableClasses classes_;
};

}  // namespace damsonport::scheduling
