#include "coordination/api/admission.hpp"

#include <algorithm>

namespace damsonport {

namespace {

/// Tolerance for rounding errors in sums of decimal fractions, in CPUs or GPUs.
constexpr double rounding_tolerance = 1e-9;

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool task_fits(const JobSpec& job, const MachineType& type) {
  if (!job.types.empty() && !contains(job.types, type.name)) return false;
  if (!job.zone.empty() && !contains(type.zones, job.zone)) return false;
  return job.cpus <= type.cpus && job.gpus <= type.gpus && job.memory_gb <= type.memory_gb;
}

/// A `limit` of 0 means that there is no limit.
bool exceeds(double wanted, double limit, double reserved_elsewhere) {
  return limit > 0 && wanted > limit - reserved_elsewhere + rounding_tolerance;
}

bool exceeds_limit(const JobSpec& job, const TeamSettings& team) {
  const double min_concurrent_tasks = job.kind == JobKind::batch ? 1 : job.tasks;
  return exceeds(job.cpus * min_concurrent_tasks, team.cpus_max, team.cpus_elsewhere) ||
         exceeds(job.gpus * min_concurrent_tasks, team.gpus_max, team.gpus_elsewhere);
}

}  // namespace

AdmissionResult check_admission(const JobSpec& job, const Settings& settings,
                                const std::vector<MachineType>& types) {
  const auto* team = settings.team(job.team);
  if (!team) return AdmissionResult::unknown_team;
  const bool fits = std::any_of(types.begin(), types.end(),
                                [&](const MachineType& type) { return task_fits(job, type); });
  if (!fits) return AdmissionResult::no_fitting_machine_type;
  if (job.replicated() && job.tasks % job.parts != 0) return AdmissionResult::indivisible_replicas;
  if (exceeds_limit(job, *team)) return AdmissionResult::over_quota_limit;
  return AdmissionResult::admitted;
}

void drop_unknown_machine_types(JobSpec& job, const std::vector<MachineType>& types) {
  std::vector<std::string> known;
  for (const auto& type : types)
    if (contains(job.types, type.name)) known.push_back(type.name);
  if (!known.empty()) job.types = std::move(known);
}

}  // namespace damsonport
