// Which waiting task starts where, and what is stopped for it. Pure: all that counts is passed in.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace damsonport::scheduling {

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;
  bool fits(const Resources& room) const {
    constexpr double eps = 1e-6;
    return cpus <= room.cpus + eps && gpus <= room.gpus + eps && memory_gb <= room.memory_gb + eps;
  }
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
    return *this;
  }
};

inline Resources operator*(const Resources& one, double times) {
  return {one.cpus * times, one.gpus * times, one.memory_gb * times};
}

// How many of the like fit into this room.
uint32_t count_fitting(const Resources& need, const Resources& room);

// Names as small numbers, so that comparing them costs nothing. 0 stands for the empty name.
using NameId = uint32_t;
class Names {
 public:
  NameId id(const std::string& name) {
    return name.empty()
               ? 0
               : ids_.try_emplace(name, static_cast<NameId>(ids_.size() + 1)).first->second;
  }
  size_t size() const { return ids_.size() + 1; }

 private:
  std::unordered_map<std::string, NameId> ids_;
};

// A task that is or may be on a machine.
struct RunningTaskSnapshot {
  size_t job = 0;
  uint32_t index = 0;
  uint64_t attempt = 0;
  double since = 0;  // running since, on the clock of `Input::steady_now`; infinite: not yet
  bool stopping = false;
};

struct MachineSnapshot {
  std::string id;
  NameId type = 0, zone = 0;
  bool spot = false;
  bool open = true;  // takes new tasks now
  Resources total, free;
  double fetch_gb_per_s = 1;
  double price_share = 0;             // of the price of the dearest type
  double speed = 1.0;                 // straggler average
  bool straggler = false;             // flagged by it
  std::vector<NameId> images;         // held
  std::vector<NameId> fetching;       // under way
  std::vector<std::string> bad_jobs;  // failed here: not again
  std::vector<RunningTaskSnapshot> live;
};

// A machine that is expected to take tasks soon.
struct BootingMachine {
  NameId type = 0, zone = 0;
  bool spot = false;
  Resources room;
};

constexpr size_t no_team = static_cast<size_t>(-1);

struct TeamSnapshot {
  std::string name;
  Resources guaranteed, limit;  // 0: none
};

struct JobSnapshot {
  std::string id;
  size_t team = no_team;
  NameId image = 0;
  double image_gb = 0;
  bool service = false;
  // All that wait start together or none. A gang that runs is stopped as a whole, too.
  bool gang = false;
  // One replica of several parts, which are a gang. The replicas of a job are a replica_set: the
  // place of the first one names it, and the job's rules about zones are for all of their parts
  // together.
  bool replica = false;
  uint32_t replica_number = 0;
  size_t replica_set = 0;
  bool distinct_machines = false;  // for the parts of a replica
  int priority = 0;                // higher is more urgent
  Resources need;
  std::vector<NameId> types;
  NameId zone = 0;
  bool one_zone = false, spread = false, spot = false;
  uint32_t tasks = 1;       // of the job in all
  uint32_t waiting = 0;     // may be started now
  uint32_t unfinished = 0;  // waiting, live and held back ones
  bool cancelled = false;
  // Fails on every machine: it takes what is left over, and nothing is stopped or rented for it.
  bool faulty = false;
  double accepted_at = 0;
  double deadline = 0;        // 0: no deadline
  bool begun = false;         // some task is live or done
  double start_within_s = 0;  // what is expected of its class; 0: nothing
  double estimate_s = 0;      // of a task's run time
  double checkpoint_s = 0;    // between savings by itself; 0: it never saves
  double grace_s = 0;         // what a task needs to save when it is stopped
};

// Kept by the holder from pass to pass, so that a pass costs what changed and not what there is.
// Places of jobs and machines that are gone stay empty until they are used again.
struct SchedulerSnapshot {
  Names types, zones, images;
  std::vector<MachineSnapshot> machines;
  std::vector<TeamSnapshot> teams;
  std::vector<JobSnapshot> jobs;
  std::vector<BootingMachine> booting;
  double min_useful_run_s = 30;  // a start stopped earlier than this was in vain
  double now = 0;                // of the same clock as accepted_at and deadline
  double steady_now = 0;
  // A job has to begin within four minutes; half of that after its acceptance an overdue one that
  // has not begun counts as any other, and one that has begun three times later.
  double begin_within_s = 120;
  double guarantee_within_s = 0;  // what is expected of work within a guarantee; 0: nothing
  // A gang that has waited this long keeps free room from less urgent work, and for how long.
  double gang_hold_after_s = never_held, gang_hold_for_s = 0;
  static constexpr double never_held = 1e18;
};

struct Placement {
  size_t job, machine;
};
// All waiting tasks of a gang: one machine for each.
struct GangPlacement {
  size_t job;
  std::vector<size_t> machines;
};
struct Preemption {
  size_t machine, live;  // the place in the machine's list
  double grace_s;
};
struct UnschedulableTasks {
  size_t job;
  uint32_t count;
  bool within_guarantee;
  bool capacity_pending;  // room for it is already being made
  uint32_t missing;       // of them, those for which there is no room: a gang waits whole
  NameId zone = 0;        // where a gang bound to one zone has the most room; 0: anywhere
  bool one_zone = false;  // the gang has to be in one zone
};
struct Decisions {
  std::vector<Placement> starts;
  std::vector<GangPlacement> gangs;
  std::vector<Preemption> stops;
  std::vector<UnschedulableTasks> unschedulable;  // for want of room; team limits excluded
  size_t examined = 0;  // machines looked at for some task: the work of this pass
};

// The image is there now. One that is being fetched is not, whatever is remembered of the machine.
bool has_image(const MachineSnapshot& m, NameId image);

Decisions place(const SchedulerSnapshot& in);

}  // namespace damsonport::scheduling
