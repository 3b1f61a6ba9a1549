#include "coordination/scheduling/equivalence_class.hpp"

#include <algorithm>

#include "coordination/scheduling/contains.hpp"

namespace damsonport::scheduling {

bool has_same_constraints(const JobSnapshot& left, const JobSnapshot& right) {
  return left.spot == right.spot && left.zone == right.zone && left.types == right.types;
}

bool represents_class(const SchedulerSnapshot& snapshot, const JobSnapshot& job) {
  if (job.one_zone || job.spread) return false;
  return std::none_of(
      snapshot.machines.begin(), snapshot.machines.end(), [&job](const MachineSnapshot& machine) {
        return !machine.failed_jobs.empty() && contains(machine.failed_jobs, job.id);
      });
}

bool UnschedulableClasses::is_known_unschedulable(const JobSnapshot& job) const {
  return std::any_of(unschedulable_.begin(), unschedulable_.end(),
                     [&job](const JobSnapshot* known) {
                       return known->need.fits(job.need) && has_same_constraints(*known, job);
                     });
}

void UnschedulableClasses::mark_unschedulable(const JobSnapshot& job) {
  if (represents_class(snapshot_, job)) unschedulable_.push_back(&job);
}

}  // namespace damsonport::scheduling
