/// Equivalence classes of jobs. Free capacity only shrinks during a cycle, so where a task found
/// none, no task finds any that needs at least as much under the same constraints. Such jobs are
/// not examined again: under overload this bounds the work of a cycle.
#pragma once
#include <vector>

#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// Whether both jobs may use the same machines, apart from constraints that depend on where their
/// own tasks are.
[[nodiscard]] bool has_same_constraints(const JobSnapshot& left, const JobSnapshot& right);

/// Whether what is found out for this job holds for others with the same constraints. Not for jobs
/// that are bound to the zones of their own tasks or kept off machines where they failed.
[[nodiscard]] bool represents_class(const SchedulerSnapshot& snapshot, const JobSnapshot& job);

/// The classes of jobs for which there was no free capacity in this cycle.
class UnschedulableClasses {
 public:
  explicit UnschedulableClasses(const SchedulerSnapshot& snapshot) : snapshot_(snapshot) {}

  [[nodiscard]] bool is_known_unschedulable(const JobSnapshot& job) const;
  /// `job` has to be an entry of the snapshot.
  void mark_unschedulable(const JobSnapshot& job);

 private:
  const SchedulerSnapshot& snapshot_;
  std::vector<const JobSnapshot*> unschedulable_;  // entries of the snapshot
};

}  // namespace damsonport::scheduling
