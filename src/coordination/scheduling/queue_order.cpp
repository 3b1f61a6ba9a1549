#include "coordination/scheduling/queue_order.hpp"

#include <algorithm>

namespace damsonport::scheduling {

namespace {

constexpr int faulty_job_urgency = -1;  // lower than that of all other jobs

// Three bands of urgency: jobs with an urgent priority, then jobs within a guaranteed quota, then
// all other jobs. Within a band, jobs are ordered by priority, and at equal priority those within a
// guaranteed quota come first. An urgent job beyond its team's guaranteed quota therefore doesn't
// wait for guaranteed jobs that can be preempted and save their state.
constexpr int urgent_band = 200;
constexpr int guaranteed_band = 100;
constexpr int priority_step = 10;
constexpr int guaranteed_bonus = 5;

// An overdue job that has already begun is deferred for this multiple of the usual time.
constexpr double begun_deferral_factor = 3;

// Whether an amount is within a quota, where a quota of 0 means that there is none.
bool within_optional_quota(double amount, double quota) {
  return quota <= 0 || amount <= quota + resource_tolerance;
}

bool is_within_guarantee(const Resources& amount, const Resources& guaranteed) {
  const bool any_guarantee = guaranteed.cpus > 0 || guaranteed.gpus > 0;
  return any_guarantee && within_optional_quota(amount.cpus, guaranteed.cpus) &&
         within_optional_quota(amount.gpus, guaranteed.gpus);
}

}  // namespace

QueueOrder::QueueOrder(const SchedulerSnapshot& snapshot)
    : snapshot_(snapshot), within_guarantee_(snapshot.jobs.size()), urgency_(snapshot.jobs.size()) {
  compute_guarantees();
  for (JobIndex job; job < snapshot.jobs.size(); ++job) urgency_[job] = compute_urgency(job);
}

std::vector<JobIndex> QueueOrder::pending_jobs() const {
  std::vector<JobIndex> pending;
  for (JobIndex job; job < snapshot_.jobs.size(); ++job) {
    const JobSnapshot& job_snapshot = snapshot_.jobs[job];
    if (job_snapshot.pending_tasks > 0 && !job_snapshot.cancelled) pending.push_back(job);
  }
  std::sort(pending.begin(), pending.end(),
            [this](JobIndex left, JobIndex right) { return precedes(left, right); });
  return pending;
}

std::vector<JobIndex> QueueOrder::jobs_by_age() const {
  std::vector<JobIndex> order;
  order.reserve(snapshot_.jobs.size());
  for (JobIndex job; job < snapshot_.jobs.size(); ++job) order.push_back(job);
  std::sort(order.begin(), order.end(), [this](JobIndex left, JobIndex right) {
    const JobSnapshot& a = snapshot_.jobs[left];
    const JobSnapshot& b = snapshot_.jobs[right];
    if (a.accepted_at != b.accepted_at) return a.accepted_at < b.accepted_at;
    return a.replica_number < b.replica_number;
  });
  return order;
}

void QueueOrder::compute_guarantees() {
  std::vector<Resources> team_need(snapshot_.teams.size());
  for (const JobIndex index : jobs_by_age()) {
    const JobSnapshot& job = snapshot_.jobs[index];
    if (!job.team || job.cancelled) continue;
    Resources& sum = team_need[*job.team];
    sum += job.need * job.unfinished_tasks;
    within_guarantee_[index] = is_within_guarantee(sum, snapshot_.teams[*job.team].guaranteed);
  }
}

int QueueOrder::compute_urgency(JobIndex index) const {
  const JobSnapshot& job = snapshot_.jobs[index];
  if (job.faulty) return faulty_job_urgency;
  const bool guaranteed = within_guarantee_[index];
  int band = 0;
  if (job.priority >= urgent_priority) {
    band = urgent_band;
  } else if (guaranteed) {
    band = guaranteed_band;
  }
  return band + job.priority * priority_step + (guaranteed ? guaranteed_bonus : 0);
}

bool QueueOrder::precedes(JobIndex left, JobIndex right) const {
  if (urgency_[left] != urgency_[right]) return urgency_[left] > urgency_[right];
  const JobSnapshot& a = snapshot_.jobs[left];
  const JobSnapshot& b = snapshot_.jobs[right];
  const double key_a = queue_key(a);
  const double key_b = queue_key(b);
  if (key_a != key_b) return key_a < key_b;
  if (a.id != b.id) return a.id < b.id;
  return a.replica_number < b.replica_number;
}

// An overdue job misses its deadline in any case and could make the next job miss its own, so it is
// deferred behind the other jobs. The deferral is limited in time because an overdue job has to run
// eventually.
double QueueOrder::queue_key(const JobSnapshot& job) const {
  if (job.deadline <= 0) return job.accepted_at;
  const double deferral_s = snapshot_.begin_within_s * (job.begun ? begun_deferral_factor : 1);
  const bool deferred =
      snapshot_.now > job.deadline && snapshot_.now < job.accepted_at + deferral_s;
  return deferred ? snapshot_.now + job.accepted_at + deferral_s : job.deadline;
}

}  // namespace damsonport::scheduling
