/// Gangs: tasks that start together and are stopped together. Pure functions of records and status.
///
/// A gang is all tasks of a gang job, or those of one replica of several parts. All tasks of an
/// attempt share its number. One decision starts a gang. Until it runs, a task that is proven gone
/// is replaced under the same attempt. Once it has run, or if the missing task can't be replaced in
/// time, the attempt is abandoned as a whole.
#pragma once
#include <cstdint>

#include "storage/record_cache.hpp"

namespace damsonport {

/// What is known of the current attempt of a gang.
struct GangStatus {
  uint32_t tasks = 0;
  uint32_t live = 0;  ///< that the records place on machines
  uint32_t done = 0;
  bool has_run = false;     ///< a task of this attempt was seen running or saving its state
  bool broken = false;      ///< a task of this attempt ended because of the others, or was stopped
  bool stopping = false;    ///< the attempt is being stopped
  double incomplete_s = 0;  ///< seconds for which some task of the attempt has been missing
};

enum class GangAction : uint8_t {
  none,             ///< nothing is missing, or it has to be waited for
  start,            ///< nothing of it is left: the whole gang may be started, under a new attempt
  replace_missing,  ///< the missing tasks may be started under the attempt of the others
  abandon,          ///< the rest of the attempt has to be stopped
};

/// What is to be done about a gang next.
/// `replacement_timeout_s`: how long the other tasks keep their places while one is replaced.
[[nodiscard]] GangAction gang_action(const GangStatus& gang, double replacement_timeout_s);

/// How many gangs a job has: one if it is a gang job, one for each replica of several parts, else
/// none.
[[nodiscard]] uint32_t gang_count(const JobSpec& spec);
/// The tasks of a gang by its number, from 0.
[[nodiscard]] TaskRange gang_range(const JobSpec& spec, uint32_t number);
/// The number of the gang that the task belongs to.
[[nodiscard]] uint32_t gang_of(const JobSpec& spec, uint32_t task);
/// All tasks of the gang that the task belongs to.
[[nodiscard]] TaskRange gang_containing(const JobSpec& spec, uint32_t task);

/// The attempt of the tasks that are live; 0, which no attempt has: none is.
[[nodiscard]] uint64_t live_attempt(const Job& job, TaskRange gang);
/// The attempt under which the missing tasks are started next.
[[nodiscard]] uint64_t next_attempt(const Job& job, TaskRange gang);

}  // namespace damsonport
