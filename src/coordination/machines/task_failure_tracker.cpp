#include "coordination/machines/task_failure_tracker.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// The backoff is doubled at most this many times and lasts at most this many leases.
constexpr int max_doublings = 6;
constexpr double max_backoff_leases = 2;
// Duration of the backoff after a refused task, in heartbeat intervals.
constexpr double refusal_backoff_heartbeats = 0.5;
// Maximum share of the fleet that is drained as faulty at the same time.
constexpr double max_faulty_share = 0.25;
// Time after a machine's last failure, in leases, after which its failures of ended jobs are
// removed.
constexpr double failure_memory_leases = 5;
}  // namespace

void TaskFailureTracker::clear() {
  attribution_.clear();
  backoffs_.clear();
}

void TaskFailureTracker::forget_job(const std::string& job) {
  attribution_.forget_job(job);
  backoffs_.erase(job);
}

void TaskFailureTracker::forget_machine(const std::string& machine) {
  attribution_.forget_machine(machine);
}

bool TaskFailureTracker::note_error(const std::string& job, const std::string& machine,
                                    double now) {
  Backoff& backoff = backoffs_[job];
  ++backoff.errors;
  attribution_.note_failure(job, machine, now);
  if (!attribution_.is_job_faulty(job)) return false;
  const double backoff_s =
      settings_.heartbeat_interval_s * (1 << std::min(backoff.errors, max_doublings));
  backoff.until = now + std::min(backoff_s, settings_.lease_s * max_backoff_leases);
  return true;
}

void TaskFailureTracker::note_refusal(const std::string& job, double now) {
  backoffs_[job].until = now + settings_.heartbeat_interval_s * refusal_backoff_heartbeats;
}

bool TaskFailureTracker::is_backing_off(const std::string& job, double now) const {
  auto backoff = backoffs_.find(job);
  return backoff != backoffs_.end() && backoff->second.until > now;
}

TaskFailureTracker::Review TaskFailureTracker::review(
    const std::map<std::string, Machine>& machines,
    const std::function<bool(const std::string&)>& is_return_requested, double now) {
  attribution_.forget_failures_before(now - settings_.lease_s * failure_memory_leases);
  Review review;
  size_t faulty = 0;
  for (auto& [id, machine] : machines) {
    if (machine.faulty_since == 0) continue;
    if (!is_return_requested(id) && !attribution_.is_machine_faulty(id)) {
      review.recovered.push_back(id);
    } else {
      ++faulty;
    }
  }
  const auto max_faulty =
      static_cast<size_t>(std::max(1.0, max_faulty_share * static_cast<double>(machines.size())));
  for (auto& [id, machine] : machines) {
    if (faulty >= max_faulty) break;
    if (machine.draining || !attribution_.is_machine_faulty(id)) continue;
    review.faulty.push_back(id);
    ++faulty;
  }
  return review;
}

}  // namespace damsonport
