/// The scheduler's input: machines, jobs, teams and booting machines as the shard leader knows them
/// at the start of a scheduling cycle.
///
/// The shard leader keeps one snapshot and updates what changed between cycles. Entries of jobs and
/// machines that are gone stay in place, empty, until they are used again, so indexes stay valid.
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

/// A position in one of the snapshot's lists. Converts to size_t so that it can index a vector;
/// there is no conversion back, or from one kind of index to another.
template <class Tag>
class Index {
 public:
  constexpr Index() = default;
  explicit constexpr Index(size_t value) : value_(value) {}
  // NOLINTNEXTLINE(google-explicit-constructor): an index is used as one
  constexpr operator size_t() const { return value_; }
  constexpr Index& operator++() {
    ++value_;
    return *this;
  }
  friend constexpr auto operator<=>(const Index&, const Index&) = default;

 private:
  size_t value_ = 0;
};

/// Position in SchedulerSnapshot::jobs.
using JobIndex = Index<struct JobTag>;
/// Position in SchedulerSnapshot::machines.
using MachineIndex = Index<struct MachineTag>;

/// A name as a small number, so that comparing two of them is cheap.
using NameId = uint32_t;

/// The empty name. It has a number of its own because numbers of names index vectors.
constexpr NameId no_name = 0;
/// As the zone that a job asks for: it may run in any.
constexpr NameId any_zone = no_name;
/// As the zone of a machine: not known yet. After a failover a machine is known from the records of
/// its tasks alone until its first heartbeat.
constexpr NameId unknown_zone = no_name;
/// The first number of a non-empty name.
constexpr NameId first_name_id = 1;

/// Numbers for the names of one kind, in order of their first use.
class NameTable {
 public:
  /// The number of this name; a new one if the name was not seen before.
  NameId id(const std::string& name) {
    if (name.empty()) return no_name;
    const auto next = static_cast<NameId>(ids_.size() + first_name_id);
    return ids_.try_emplace(name, next).first->second;
  }
  /// All numbers are below this one.
  [[nodiscard]] size_t size() const { return ids_.size() + first_name_id; }

 private:
  std::unordered_map<std::string, NameId> ids_;
};

/// A task that is, or may be, on a machine.
struct RunningTaskSnapshot {
  JobIndex job;
  uint32_t index = 0;  ///< within its job
  uint64_t attempt = 0;
  /// When it began to run, in seconds on the clock of SchedulerSnapshot::steady_now. Infinite: it
  /// does not run yet.
  double running_since = 0;
  bool stopping = false;  ///< it was told to stop, or has ended and the records don't say so yet
};

/// A machine that sends heartbeats, or that the records place tasks on.
struct MachineSnapshot {
  std::string id;
  NameId type = no_name;
  NameId zone = unknown_zone;
  bool spot = false;
  bool schedulable = true;  ///< takes new tasks now
  Resources total;
  Resources free;                ///< not used by the tasks in `running_tasks`
  double fetch_gb_per_s = 1;     ///< rate at which it fetches an image
  double relative_price = 0;     ///< its price, as a share of that of the dearest type
  double speed = 1.0;            ///< running average; 1: as fast as the others of its type
  bool straggler = false;        ///< slow enough to be replaced
  std::vector<NameId> images;    ///< cached, or being fetched
  std::vector<NameId> fetching;  ///< being fetched
  std::vector<std::string>
      failed_jobs;  ///< ids of jobs that failed here: they don't start here again
  std::vector<RunningTaskSnapshot> running_tasks;
};

/// A machine that is expected to take tasks soon.
struct BootingMachine {
  NameId type = no_name;
  NameId zone = unknown_zone;
  bool spot = false;
  Resources capacity;  ///< its whole capacity
};

struct TeamSnapshot {
  std::string name;
  Resources guaranteed;  ///< guaranteed quota of CPUs and GPUs; 0: none in this dimension
  Resources limit;       ///< quota limit of CPUs and GPUs; 0: unlimited in this dimension
};

/// A job, or one replica of a job whose replicas consist of several parts.
struct JobSnapshot {
  std::string id;
  std::optional<size_t> team;  ///< position in SchedulerSnapshot::teams; none: it never starts
  NameId image = no_name;
  double image_gb = 0;
  bool service = false;
  /// All pending tasks start together or not at all; running ones are stopped together.
  bool gang = false;

  /// One replica of several parts, which are a gang.
  bool replica = false;
  uint32_t replica_number = 0;
  /// Index of the job's first replica. The job's zone constraints apply to the parts of all its
  /// replicas together.
  JobIndex replica_set;
  bool distinct_machines = false;  ///< each part of a replica needs a machine of its own

  int priority = 0;           ///< higher is more urgent
  Resources need;             ///< of one task
  std::vector<NameId> types;  ///< machine types it may run on; empty: any
  NameId zone = any_zone;     ///< the only zone it may run in
  bool one_zone = false;      ///< all its tasks in the same zone
  bool spread = false;        ///< at most half of its tasks, rounded up, in one zone
  bool spot = false;          ///< may run on spot machines

  uint32_t tasks = 1;             ///< of the job in all
  uint32_t pending_tasks = 0;     ///< pending tasks that may be started now
  uint32_t unfinished_tasks = 0;  ///< pending, running, and held back ones
  bool cancelled = false;
  /// Fails on every machine: it gets what is left over, and nothing is preempted or scaled out for
  /// it.
  bool faulty = false;

  double accepted_at = 0;     ///< seconds on the clock of SchedulerSnapshot::now
  double deadline = 0;        ///< seconds on the same clock; 0: none
  bool begun = false;         ///< some task runs or is done
  double start_within_s = 0;  ///< objective for the start-up time of its class; 0: none
  double estimate_s = 0;      ///< expected run time of a task
  double checkpoint_s = 0;    ///< interval between its own checkpoints; 0: it makes none
  double grace_s = 0;         ///< time a task needs to save its state when it is stopped
};

/// Everything that a scheduling cycle depends on.
struct SchedulerSnapshot {
  NameTable types;
  NameTable zones;
  NameTable images;
  std::vector<MachineSnapshot> machines;
  std::vector<TeamSnapshot> teams;
  std::vector<JobSnapshot> jobs;
  std::vector<BootingMachine> booting;
  /// A task that is preempted after a shorter run than this was started in vain.
  double min_useful_run_s = 30;
  double now = 0;         ///< wall clock, seconds; the clock of accepted_at and deadline
  double steady_now = 0;  ///< monotonic clock, seconds
  /// A job has to begin within four minutes of its acceptance. After half of that an overdue job
  /// that has not begun is queued by its deadline again, like any other.
  double begin_within_s = 120;
  /// Objective for the start-up time of work within its team's guaranteed quota; 0: none.
  double guarantee_within_s = 0;
  /// A gang that has been pending for this long reserves free capacity against less urgent work;
  /// none: it never does.
  std::optional<double> gang_hold_after_s;
  /// For how long it does.
  double gang_hold_for_s = 0;
};

/// Whether the image is cached on the machine. One that is still being fetched is not.
[[nodiscard]] bool has_image(const MachineSnapshot& machine, NameId image);

}  // namespace damsonport::scheduling
