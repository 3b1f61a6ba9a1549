// Which waiting task starts where, and what is stopped for it. Pure: all that counts is passed in.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace damsonport::placing {

struct Amounts {
  double cpus = 0, gpus = 0, memory_gb = 0;
  bool fits(const Amounts& room) const {
    constexpr double eps = 1e-6;
    return cpus <= room.cpus + eps && gpus <= room.gpus + eps && memory_gb <= room.memory_gb + eps;
  }
  Amounts& operator+=(const Amounts& o) {
    cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
    return *this;
  }
  Amounts& operator-=(const Amounts& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
    return *this;
  }
};

struct MachineView {
  std::string id;
  std::string type, zone;
  bool spot = false;
  bool open = true;  // takes new tasks now
  Amounts total, free;
  double fetch_gb_per_s = 1;
  double speed = 1.0;                 // straggler average
  std::vector<std::string> images;    // held
  std::vector<std::string> fetching;  // under way
  std::vector<std::string> bad_jobs;  // failed here: not again
  // Amounts of tasks that are being stopped here; they come free soon.
  Amounts coming_free;
};

struct TeamView {
  std::string name;
  Amounts used, guaranteed, limit;  // 0: none
};

struct JobView {
  std::string id, team, image;
  double image_gb = 0;
  bool service = false;
  bool gang = false;  // all that wait start together or none
  int priority = 0;   // higher is more urgent
  Amounts need;
  std::vector<std::string> types;
  std::string zone;
  bool one_zone = false, spread = false, spot = false;
  uint32_t tasks = 1;       // in all
  uint32_t waiting = 0;     // may be started now
  uint32_t unfinished = 0;  // waiting, live and held back ones
  bool cancelled = false;
  double accepted_at = 0;
  double due_at = 0;           // 0: no deadline
  bool begun = false;          // some task is live or done
  double start_within_s = 0;  // what is expected of its class; 0: nothing
};

// A task on a machine that may be stopped.
struct LiveView {
  size_t job = 0, machine = 0;
  uint32_t index = 0;
  double lost_s = 0;    // work lost by stopping it now
  double grace_s = 0;   // what it needs to save
  double abrupt_s = 0;  // work lost by stopping it without time to save
  double age_s = 0;
  bool stopping = false;
};

struct Input {
  std::vector<MachineView> machines;
  std::vector<TeamView> teams;
  std::vector<JobView> jobs;
  std::vector<LiveView> live;     // every task that is or may be on a machine
  double start_counts_s = 30;     // a start stopped earlier than this was in vain
  double now = 0;                 // of the same clock as accepted_at and due_at
  // A job has to begin within four minutes; half of that after its acceptance an overdue one that has
  // not begun counts as any other, and one that has begun three times later.
  double begin_within_s = 120;
  double guarantee_within_s = 0;  // what is expected of work within a guarantee; 0: nothing
};

struct Start {
  size_t job, machine;
};
struct Stop {
  size_t live;
  double grace_s;
};
struct Unplaced {
  size_t job;
  uint32_t count;
  bool within_guarantee;
  bool room_coming;  // room for it is already being made
};
struct Decisions {
  std::vector<Start> starts;
  std::vector<Stop> stops;
  std::vector<Unplaced> unplaced;  // for want of room; team limits excluded
  size_t examined = 0;             // machines looked at for some task: the work of this pass
};

// The image is there now. One that is being fetched is not, whatever is remembered of the machine.
bool holds(const MachineView& m, const std::string& image);

Decisions place(const Input& in);

}  // namespace damsonport::placing
