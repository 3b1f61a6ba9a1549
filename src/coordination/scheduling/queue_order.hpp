/// The order in which a scheduling cycle handles pending jobs.
///
/// Jobs are sorted by urgency, which combines the priority of a job with the guaranteed quota of
/// its team. Jobs of equal urgency are sorted by deadline, or by acceptance time if they have no
/// deadline.
#pragma once
#include <vector>

#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// Jobs of at least this priority are urgent (the priorities high and production).
constexpr int urgent_priority = 2;

/// Computed once per cycle. The snapshot has to outlive the object and must not change.
class QueueOrder {
 public:
  explicit QueueOrder(const SchedulerSnapshot& snapshot);

  /// Jobs with pending tasks, in scheduling order.
  [[nodiscard]] std::vector<JobIndex> pending_jobs() const;
  /// Jobs with a higher urgency are scheduled earlier. A job may preempt only tasks of jobs with a
  /// lower urgency.
  [[nodiscard]] int urgency(JobIndex job) const { return urgency_[job]; }
  /// Whether the job fits into the guaranteed quota of its team together with the team's jobs that
  /// were accepted earlier.
  [[nodiscard]] bool within_guarantee(JobIndex job) const { return within_guarantee_[job]; }

 private:
  [[nodiscard]] std::vector<JobIndex> jobs_by_age() const;
  void compute_guarantees();
  [[nodiscard]] int compute_urgency(JobIndex index) const;
  [[nodiscard]] bool precedes(JobIndex left, JobIndex right) const;
  [[nodiscard]] double queue_key(const JobSnapshot& job) const;

  const SchedulerSnapshot& snapshot_;
  std::vector<bool> within_guarantee_;  // by job
  std::vector<int> urgency_;            // by job
};

}  // namespace damsonport::scheduling
