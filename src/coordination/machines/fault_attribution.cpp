#include "coordination/machines/fault_attribution.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// Machines on which a job must have failed, and jobs that must have failed on a machine.
constexpr size_t machines_against_a_job = 3;
constexpr size_t jobs_against_a_machine = 2;
}  // namespace

void FaultAttribution::failed(const std::string& job, const std::string& machine, double now) {
  jobs_[job].failed_on.insert(machine);
  machines_[machine].failed_jobs.insert(job);
  machines_[machine].last_failure = now;
}

void FaultAttribution::worked(const std::string& job, const std::string& machine, double started) {
  if (auto it = machines_.find(machine); it != machines_.end() && started > it->second.last_failure)
    machines_.erase(it);
  // Only of jobs that have failed somewhere anything needs to be known.
  if (auto it = jobs_.find(job); it != jobs_.end()) it->second.worked = true;
}

void FaultAttribution::suspect(const std::string& job) { jobs_[job].suspected = true; }

bool FaultAttribution::is_job_faulty(const std::string& job) const {
  auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.worked) return false;
  return it->second.suspected || it->second.failed_on.size() >= machines_against_a_job;
}

bool FaultAttribution::attributes_to_machine(const std::string& job) const {
  auto it = jobs_.find(job);
  if (it == jobs_.end() || is_job_faulty(job)) return false;
  return it->second.worked || it->second.failed_on.size() == 1;
}

bool FaultAttribution::is_machine_faulty(const std::string& machine) const {
  auto it = machines_.find(machine);
  if (it == machines_.end()) return false;
  auto& jobs = it->second.failed_jobs;
  auto blaming = std::count_if(jobs.begin(), jobs.end(),
                               [&](const std::string& job) { return attributes_to_machine(job); });
  return static_cast<size_t>(blaming) + it->second.ended_jobs >= jobs_against_a_machine;
}

// A machine that fails everything meets jobs that are done elsewhere within seconds.
void FaultAttribution::forget_job(const std::string& job) {
  auto it = jobs_.find(job);
  const bool worked = it != jobs_.end() && it->second.worked;
  if (it != jobs_.end()) jobs_.erase(it);
  for (auto& [machine, record] : machines_) {
    if (record.failed_jobs.erase(job) == 0 || !worked) continue;
    record.ended_jobs = std::min(record.ended_jobs + 1, jobs_against_a_machine);
  }
  std::erase_if(machines_, [](auto& entry) { return entry.second.empty(); });
}

void FaultAttribution::forget_failures_before(double before) {
  for (auto& [machine, record] : machines_)
    if (record.last_failure < before) record.ended_jobs = 0;
  std::erase_if(machines_, [](auto& entry) { return entry.second.empty(); });
}

void FaultAttribution::forget_machine(const std::string& machine) { machines_.erase(machine); }

void FaultAttribution::clear() {
  jobs_.clear();
  machines_.clear();
}

}  // namespace damsonport
