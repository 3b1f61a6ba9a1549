#include "coordination/scheduling/scheduling_cycle.hpp"

#include <utility>

namespace damsonport::scheduling {

SchedulingCycle::SchedulingCycle(const SchedulerSnapshot& snapshot)
    : snapshot_(snapshot),
      queue_(snapshot),
      state_(snapshot, queue_),
      feasibility_(snapshot, state_),
      scorer_(snapshot, state_),
      context_{snapshot_, queue_, feasibility_, scorer_, state_, decisions_},
      preemptor_(context_),
      pending_capacity_(context_, preemptor_),
      task_placer_(context_, pending_capacity_),
      gang_placer_(context_, pending_capacity_) {}

Decisions SchedulingCycle::run() {
  for (const JobIndex job : queue_.pending_jobs()) {
    begin_job(job);
    if (snapshot_.jobs[job].gang) {
      gang_placer_.place(job);
    } else {
      task_placer_.place(job);
    }
    state_.end_job(job);
  }
  return std::move(decisions_);
}

void SchedulingCycle::begin_job(JobIndex job) {
  state_.begin_job(job);
  // The spread constraint takes precedence over the preference for one zone per replica: if no zone
  // may take all pending parts, the parts may be placed in several zones.
  if (state_.parts_in_one_zone() && !feasibility_.fits_one_zone(job))
    state_.allow_parts_in_several_zones();
}

}  // namespace damsonport::scheduling
