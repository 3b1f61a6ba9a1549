// What is to be done about tasks that run as one, judged by their records and reports. Pure.
//
// A gang is all tasks of a job, or those of one replica of several parts. All tasks of an attempt
// share its number. A gang is started by one decision; until it runs, a task that is proven gone is
// replaced under the same attempt, and once it has run, or the missing task can't be replaced in
// time, the attempt is given up as a whole.
#pragma once
#include <cstdint>

#include "storage/record_cache.hpp"

namespace damsonport {

struct GangStatus {
  uint32_t tasks = 0;
  uint32_t live = 0;  // by the records
  uint32_t done = 0;
  bool ran = false;         // a task of this attempt was seen running or saving
  bool broken = false;      // a task of this attempt ended because of the others, or was stopped
  bool stopping = false;    // the attempt is being stopped
  double incomplete_s = 0;  // since some task of the attempt is missing
};

enum class GangAction : uint8_t {
  none,      // nothing is missing, or it has to be waited for
  start,     // nothing of it is left: the whole gang may be started, under a new attempt
  complete,  // the missing tasks may be started under the attempt of the others
  abandon,   // the rest of the attempt has to be stopped
};

// `patience_s`: how long a missing task may take to be replaced while the others hold their places.
GangAction gang_action(const GangStatus& gang, double patience_s);

// The gangs of a job: one for a gang job, one for each replica of several parts, else none.
uint32_t gang_count(const JobSpec& spec);
// By its number, from 0.
TaskRange gang_range(const JobSpec& spec, uint32_t number);
// The number of the gang that the task belongs to.
uint32_t gang_of(const JobSpec& spec, uint32_t task);
// All tasks of that gang.
TaskRange gang_containing(const JobSpec& spec, uint32_t task);

// The attempt of the tasks that are live; 0: none is.
uint64_t live_attempt(const Job& job, TaskRange gang);
// The attempt under which the missing tasks are started next.
uint64_t next_attempt(const Job& job, TaskRange gang);

}  // namespace damsonport
