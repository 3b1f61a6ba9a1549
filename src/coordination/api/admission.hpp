/// Admission check of a submission: whether the job could ever run in this region. Pure; the caller
/// passes in the settings and the machine types of the cloud.
#pragma once
#include <cstdint>
#include <vector>

#include "config/settings.hpp"
#include "protocol/messages.hpp"

namespace damsonport {

enum class AdmissionResult : uint8_t {
  admitted,
  unknown_team,             ///< The settings name no such team.
  no_fitting_machine_type,  ///< No machine type that the job allows is large enough for a task.
  over_quota_limit,         ///< What runs at once at the least exceeds the team's limit here.
  indivisible_replicas,     ///< The tasks don't divide into whole replicas.
};

/// Checks `job` against the team's limit, less what other regions keep of it, and against `types`.
/// Of a batch job a single task has to be within the limit, of other kinds all tasks together.
[[nodiscard]] AdmissionResult check_admission(const JobSpec& job, const Settings& settings,
                                              const std::vector<MachineType>& types);

/// Removes from the job's list the machine types that are not in `types`, and duplicates. A list
/// without any known type stays as it is: an empty one would allow every type.
void drop_unknown_machine_types(JobSpec& job, const std::vector<MachineType>& types);

}  // namespace damsonport
