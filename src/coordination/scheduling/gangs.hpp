/// Gangs: sets of tasks that start together and are stopped together. Everything here is a pure
/// function of the records and of the gang's status.
///
/// A gang consists of all tasks of a gang job, or of all parts of one replica. One decision starts
/// a gang, and all tasks of an attempt share the attempt number. If a task ends before the gang has
/// run, the task is replaced under the same attempt. If the gang has already run, or if the task
/// can't be replaced in time, the whole attempt is abandoned.
#pragma once
#include <cstdint>

#include "storage/record_cache.hpp"

namespace damsonport {

/// Status of the current attempt of a gang.
struct GangStatus {
  uint32_t tasks = 0;
  uint32_t live = 0;  ///< tasks that the records place on machines
  uint32_t done = 0;
  bool has_run = false;  ///< a task of this attempt was seen running or saving its state
  /// A task of this attempt ended because of the others, failed too often, was stopped, or ended
  /// after the attempt had run; or the live tasks belong to different attempts.
  bool broken = false;
  bool stopping = false;    ///< the attempt is being stopped
  double incomplete_s = 0;  ///< seconds for which a task has been missing
};

/// The action that a gang needs.
enum class GangAction : uint8_t {
  none,             ///< no task is missing, or the leader has to wait
  start,            ///< no task is live: start the whole gang under a new attempt
  replace_missing,  ///< start the missing tasks under the attempt of the live ones
  abandon,          ///< stop the live tasks of the attempt
};

/// The next action for a gang. `replacement_timeout_s`: how long the live tasks wait for the
/// replacement of a missing one.
[[nodiscard]] GangAction gang_action(const GangStatus& gang, double replacement_timeout_s);

/// Number of gangs of a job: 1 for a gang job, the number of replicas for a service whose replicas
/// have several parts, otherwise 0.
[[nodiscard]] uint32_t gang_count(const JobSpec& spec);
/// The tasks of a gang. `number`: number of the gang within its job, from 0.
[[nodiscard]] TaskRange gang_range(const JobSpec& spec, uint32_t number);
/// The number of the gang that contains the task; 0 if the job has no gangs.
[[nodiscard]] uint32_t gang_of(const JobSpec& spec, uint32_t task);
/// All tasks of the gang that contains the task.
[[nodiscard]] TaskRange gang_containing(const JobSpec& spec, uint32_t task);

/// The attempt number of the gang's live tasks; 0, which is no valid attempt number, if there are
/// none.
[[nodiscard]] uint64_t live_attempt(const Job& job, TaskRange gang);
/// The attempt number under which the missing tasks are to be started.
[[nodiscard]] uint64_t next_attempt(const Job& job, TaskRange gang);

}  // namespace damsonport
