/// Placement of jobs whose tasks start independently of each other.
#pragma once
#include <cstdint>

#include "coordination/scheduling/cycle_context.hpp"
#include "coordination/scheduling/equivalence_class.hpp"
#include "coordination/scheduling/pending_capacity.hpp"

namespace damsonport::scheduling {

class TaskPlacer {
 public:
  TaskPlacer(const CycleContext& context, PendingCapacity& pending_capacity)
      : context_(context), pending_capacity_(pending_capacity), classes_(context.snapshot) {}

  /// Starts as many pending tasks of the job as there is capacity for, promises pending capacity to
  /// the others, and reports those for which there is none.
  void place(JobIndex job);

 private:
  struct Candidate;
  class CandidateHeap;
  struct Progress {
    uint32_t started = 0;
    uint32_t reserved = 0;  // capacity beside their image is being freed for them
  };
  /// Machines are scored once for the whole job: a start changes the score of its own machine only,
  /// and the zone constraints may rule out others.
  Progress place_on_free_capacity(JobIndex job);
  [[nodiscard]] CandidateHeap score_candidates(JobIndex job);
  bool reserve_with_cached_image(JobIndex job, const Candidate& best);
  void reserve_pending_capacity(JobIndex job, uint32_t unplaced, uint32_t reserved);

  const CycleContext context_;
  PendingCapacity& pending_capacity_;
  UnschedulableClasses classes_;
};

}  // namespace damsonport::scheduling
