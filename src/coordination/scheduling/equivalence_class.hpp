/// Equivalence classes of jobs. Free capacity only decreases during a cycle: if there is none for
/// one task, there is none for any task that needs at least as much under the same constraints.
/// Machines are not examined again for such jobs, which bounds the cost of a cycle under overload.
#pragma once
#include <vector>

#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// Whether both jobs may use the same machines, apart from constraints that depend on the locations
/// of their own tasks.
[[nodiscard]] bool has_same_constraints(const JobSnapshot& left, const JobSnapshot& right);

/// Whether the result of a search for this job also applies to other jobs with the same
/// constraints. False for jobs with zone constraints that depend on their own tasks, and for jobs
/// that are excluded from machines on which they failed.
[[nodiscard]] bool represents_class(const SchedulerSnapshot& snapshot, const JobSnapshot& job);

/// The classes of jobs for which no free capacity was found in this cycle.
class UnschedulableClasses {
 public:
  explicit UnschedulableClasses(const SchedulerSnapshot& snapshot) : snapshot_(snapshot) {}

  /// Whether a marked job shows that there is no free capacity for this one.
  [[nodiscard]] bool is_known_unschedulable(const JobSnapshot& job) const;
  /// Records that no free capacity was found for the job. `job` must be an entry of the snapshot.
  void mark_unschedulable(const JobSnapshot& job);

 private:
  const SchedulerSnapshot& snapshot_;
  std::vector<const JobSnapshot*> unschedulable_;  // entries of the snapshot
};

}  // namespace damsonport::scheduling
