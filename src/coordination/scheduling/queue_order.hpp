/// The order in which a scheduling cycle decides for pending jobs.
///
/// Sorted by urgency, which combines the job's priority with its team's guaranteed quota; among
/// equals by deadline, and by age where there is none.
#pragma once
#include <vector>

#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// Jobs of this priority and above are urgent: high and production.
constexpr int urgent_priority = 2;

class QueueOrder {
 public:
  explicit QueueOrder(const SchedulerSnapshot& snapshot);

  /// Jobs with pending tasks, the one to be decided first in front.
  [[nodiscard]] std::vector<JobIndex> pending_jobs() const;
  /// Higher is decided earlier. A job may only preempt tasks of jobs with a lower urgency.
  [[nodiscard]] int urgency(JobIndex job) const { return urgency_[job]; }
  /// Whether the job fits into its team's guaranteed quota together with the team's earlier jobs.
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
