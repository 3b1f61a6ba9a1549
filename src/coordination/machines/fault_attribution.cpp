#include "coordination/machines/fault_attribution.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// Number of machines on which a job must fail to be faulty, and number of jobs that must fail on a
// machine for the machine to be faulty.
constexpr size_t min_machines_of_faulty_job = 3;
constexpr size_t min_jobs_of_faulty_machine = 2;
}  // namespace

void FaultAttribution::note_failure(const std::string& job, const std::string& machine,
                                    double now) {
  jobs_[job].failed_on.insert(machine);
  machines_[machine].failed_jobs.insert(job);
  machines_[machine].last_failure = now;
}

void FaultAttribution::note_success(const std::string& job, const std::string& machine,
                                    double started) {
  if (auto it = machines_.find(machine); it != machines_.end() && started > it->second.last_failure)
    machines_.erase(it);
  // Successes are recorded only for jobs with a failure; the others can't be faulty.
  if (auto it = jobs_.find(job); it != jobs_.end()) it->second.has_succeeded = true;
}

void FaultAttribution::suspect_job(const std::string& job) { jobs_[job].suspected = true; }

bool FaultAttribution::is_job_faulty(const std::string& job) const {
  auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.has_succeeded) return false;
  return it->second.suspected || it->second.failed_on.size() >= min_machines_of_faulty_job;
}

bool FaultAttribution::counts_against_machine(const std::string& job) const {
  auto it = jobs_.find(job);
  if (it == jobs_.end() || is_job_faulty(job)) return false;
  return it->second.has_succeeded || it->second.failed_on.size() == 1;
}

bool FaultAttribution::is_machine_faulty(const std::string& machine) const {
  auto it = machines_.find(machine);
  if (it == machines_.end()) return false;
  auto& jobs = it->second.failed_jobs;
  auto against_machine = std::count_if(jobs.begin(), jobs.end(), [&](const std::string& job) {
    return counts_against_machine(job);
  });
  return static_cast<size_t>(against_machine) + it->second.ended_jobs >= min_jobs_of_faulty_machine;
}

// The failures of an ended job are kept because a machine on which all tasks fail gets tasks of
// jobs that complete on other machines within seconds.
void FaultAttribution::forget_job(const std::string& job) {
  auto it = jobs_.find(job);
  const bool has_succeeded = it != jobs_.end() && it->second.has_succeeded;
  if (it != jobs_.end()) jobs_.erase(it);
  for (auto& [machine, failures] : machines_) {
    if (failures.failed_jobs.erase(job) == 0 || !has_succeeded) continue;
    failures.ended_jobs = std::min(failures.ended_jobs + 1, min_jobs_of_faulty_machine);
  }
  std::erase_if(machines_, [](auto& entry) { return entry.second.empty(); });
}

void FaultAttribution::forget_failures_before(double before) {
  for (auto& [machine, failures] : machines_)
    if (failures.last_failure < before) failures.ended_jobs = 0;
  std::erase_if(machines_, [](auto& entry) { return entry.second.empty(); });
}

void FaultAttribution::forget_machine(const std::string& machine) { machines_.erase(machine); }

void FaultAttribution::clear() {
  jobs_.clear();
  machines_.clear();
}

}  // namespace damsonport
