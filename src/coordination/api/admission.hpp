/// Admission check of submissions: decides whether a job could ever run in this region. Pure: the
/// caller passes in the settings and the machine types of the cloud.
#pragma once
#include <cstdint>
#include <vector>

#include "config/settings.hpp"
#include "protocol/messages.hpp"

namespace damsonport {

/// Result of check_admission(): admission, or the reason of the rejection.
enum class AdmissionResult : uint8_t {
  admitted,
  unknown_team,             ///< the settings don't define the job's team
  no_fitting_machine_type,  ///< a task fits none of the allowed machine types
  over_quota_limit,         ///< tasks that must run at the same time exceed the limit
  indivisible_replicas,     ///< the tasks don't divide into whole replicas
};

/// Checks `job` against `types` and against the team's quota limit, less the part of it that
/// belongs to other regions. One task of a batch job must be within the limit; for other kinds of
/// jobs, all tasks together.
[[nodiscard]] AdmissionResult check_admission(const JobSpec& job, const Settings& settings,
                                              const std::vector<MachineType>& types);

/// Removes duplicates and the machine types that are not in `types` from the job's list of allowed
/// types. A list without any known type stays unchanged, because an empty list allows every type.
void drop_unknown_machine_types(JobSpec& job, const std::vector<MachineType>& types);

}  // namespace damsonport
