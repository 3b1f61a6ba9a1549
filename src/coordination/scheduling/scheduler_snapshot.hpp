/// The scheduler's input: the machines, jobs, teams and booting machines that the shard leader
/// knows at the start of a scheduling cycle.
///
/// The shard leader keeps one snapshot and updates the changed entries between cycles. When a job
/// or machine is removed, its entry is emptied but stays in place until a new job or machine reuses
/// it, so that the indexes of the other entries stay valid.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/resources.hpp"

namespace damsonport::scheduling {

/// Typed index into one of the snapshot's lists. An index converts implicitly to size_t, so that it
/// can be used as a vector subscript. A size_t, or an index into another list, doesn't convert to
/// an index.
template <class Tag>
class Index {
 public:
  constexpr Index() = default;
  explicit constexpr Index(size_t value) : value_(value) {}
  // NOLINTNEXTLINE(google-explicit-constructor): used as a vector subscript
  constexpr operator size_t() const { return value_; }
  constexpr Index& operator++() {
    ++value_;
    return *this;
  }
  friend constexpr auto operator<=>(const Index&, const Index&) = default;

 private:
  size_t value_ = 0;
};

/// Index into SchedulerSnapshot::jobs.
using JobIndex = Index<struct JobTag>;
/// Index into SchedulerSnapshot::machines.
using MachineIndex = Index<struct MachineTag>;

/// A number that stands for a name of a NameTable, so that comparing two names is cheap.
using NameId = uint32_t;

/// The empty name. It has a number of its own because name numbers are used as vector subscripts.
constexpr NameId no_name = 0;
/// Zone of a job that may run in any zone.
constexpr NameId any_zone = no_name;
/// Zone of a machine that has not sent a heartbeat to this shard leader yet. After a failover such
/// a machine is known only from the records of its tasks.
constexpr NameId unknown_zone = no_name;
/// The number of the first non-empty name.
constexpr NameId first_name_id = 1;

/// Assigns numbers to the names of one kind (such as zones), in the order of their first use.
class NameTable {
 public:
  /// Returns the number of the name. A name that is not in the table yet is added.
  NameId id(const std::string& name) {
    if (name.empty()) return no_name;
    const auto next = static_cast<NameId>(ids_.size() + first_name_id);
    return ids_.try_emplace(name, next).first->second;
  }
  /// Number of names, including the empty one. All name numbers are less than this.
  [[nodiscard]] size_t size() const { return ids_.size() + first_name_id; }

 private:
  std::unordered_map<std::string, NameId> ids_;
};

/// A task that the records place on a machine, whether or not it runs yet.
struct RunningTaskSnapshot {
  JobIndex job;
  uint32_t index = 0;  ///< index within its job
  uint64_t attempt = 0;
  /// When the task began to run, in seconds on the clock of SchedulerSnapshot::steady_now; infinite
  /// if the task doesn't run yet.
  double running_since = 0;
  /// A stop of the task is under way, or the task has exited and the exit is not committed yet.
  bool stopping = false;
};

/// A machine that sends heartbeats, or on which the records place tasks.
struct MachineSnapshot {
  std::string id;
  NameId type = no_name;
  NameId zone = unknown_zone;
  bool spot = false;
  bool schedulable = true;  ///< accepts new tasks
  Resources total;
  Resources free;                ///< `total` without the needs of `running_tasks`
  double fetch_gb_per_s = 1;     ///< rate of image fetches
  double relative_price = 0;     ///< price as a share of that of the most expensive type
  double speed = 1.0;            ///< moving average; 1: average of its machine type
  bool straggler = false;        ///< to be replaced, takes no gangs
  std::vector<NameId> images;    ///< cached images and those in `fetching`
  std::vector<NameId> fetching;  ///< images being fetched
  /// Ids of jobs that failed on this machine and don't start on it again.
  std::vector<std::string> failed_jobs;
  std::vector<RunningTaskSnapshot> running_tasks;
};

/// A machine that was requested and has not sent a heartbeat yet.
struct BootingMachine {
  NameId type = no_name;
  NameId zone = unknown_zone;
  bool spot = false;
  Resources capacity;  ///< of the whole machine
};

/// The quotas of a team.
struct TeamSnapshot {
  std::string name;
  Resources guaranteed;  ///< guaranteed quota of CPUs and GPUs; 0: no guarantee
  Resources limit;       ///< quota limit of CPUs and GPUs; 0: unlimited
};

/// A job, or one replica of a service whose replicas consist of several parts. Such a replica has
/// an entry of its own.
struct JobSnapshot {
  std::string id;
  /// Index into SchedulerSnapshot::teams. A job without a team never starts.
  std::optional<size_t> team;
  NameId image = no_name;
  double image_gb = 0;
  bool service = false;
  /// The pending tasks start together or not at all, and the running tasks are stopped together.
  bool gang = false;

  /// The entry is one replica that consists of several parts. The parts form a gang.
  bool replica = false;
  uint32_t replica_number = 0;
  /// Index of the first replica of the same job. The job's zone constraints apply to the parts of
  /// all its replicas together.
  JobIndex replica_set;
  bool distinct_machines = false;  ///< no two parts of a replica on one machine

  int priority = 0;           ///< higher is more urgent
  Resources need;             ///< resources of one task
  std::vector<NameId> types;  ///< allowed machine types; empty: any
  NameId zone = any_zone;     ///< the only allowed zone
  bool one_zone = false;      ///< all tasks in the same zone
  bool spread = false;        ///< at most half of the tasks, rounded up, in one zone
  bool spot = false;          ///< may run on spot machines

  uint32_t tasks = 1;             ///< all tasks of the job
  uint32_t pending_tasks = 0;     ///< tasks that may be started now
  uint32_t unfinished_tasks = 0;  ///< pending, held back and running tasks
  bool cancelled = false;
  /// Its tasks fail on every machine. A faulty job is last in the queue, and neither preemption nor
  /// scale-out provides capacity for it.
  bool faulty = false;

  double accepted_at = 0;     ///< seconds on the clock of SchedulerSnapshot::now
  double deadline = 0;        ///< seconds on the same clock; 0: none
  bool begun = false;         ///< some task is running or done
  double start_within_s = 0;  ///< start-up objective of the job's class; 0: none
  double estimate_s = 0;      ///< expected run time of a task
  double checkpoint_s = 0;    ///< interval of a task's own checkpoints; 0: none
  double grace_s = 0;         ///< time that a stopped task needs to save its state
};

/// Input of a scheduling cycle. Owned by the SnapshotBuilder of the shard leader; unchanged during
/// a cycle.
struct SchedulerSnapshot {
  NameTable types;
  NameTable zones;
  NameTable images;
  std::vector<MachineSnapshot> machines;
  std::vector<TeamSnapshot> teams;
  std::vector<JobSnapshot> jobs;
  std::vector<BootingMachine> booting;
  /// A task that is preempted after a shorter run than this, in seconds, was started without
  /// benefit.
  double min_useful_run_s = 30;
  double now = 0;         ///< wall clock, seconds; the clock of accepted_at and deadline
  double steady_now = 0;  ///< monotonic clock, seconds
  /// How long after its acceptance an overdue job that has not begun stays deferred behind other
  /// jobs; afterwards it is queued by its deadline again. Half of the four minutes within which
  /// every job has to begin.
  double begin_within_s = 120;
  /// Start-up objective of jobs within the guaranteed quota of their team, in seconds; 0: none.
  double guarantee_within_s = 0;
  /// A gang that has been pending for this time, in seconds, holds free capacity against less
  /// urgent jobs. Without a value, gangs never hold capacity.
  std::optional<double> gang_hold_after_s;
  /// For how long a gang holds capacity, in seconds.
  double gang_hold_for_s = 0;
};

/// Whether the image is completely fetched and cached on the machine.
[[nodiscard]] bool has_image(const MachineSnapshot& machine, NameId image);

}  // namespace damsonport::scheduling
