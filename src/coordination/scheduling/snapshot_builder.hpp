/// Builds the scheduler's snapshot from the records and the shard leader's machines, and keeps it
/// up to date.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "coordination/autoscaling/machine_type_catalog.hpp"
#include "coordination/machines/fault_attribution.hpp"
#include "coordination/machines/machine.hpp"
#include "coordination/quotas/team_quotas.hpp"
#include "coordination/scheduling/snapshot_index.hpp"
#include "coordination/scheduling/start_edits.hpp"

namespace damsonport {

/// Owns the snapshot that is the input of scheduling cycles. The snapshot is kept between cycles,
/// and refresh() updates only the entries of jobs and machines that were marked as changed, so the
/// cost of a refresh depends on the number of changes and not on the size of the fleet. State that
/// changes with time alone (missed heartbeats, back-off) is evaluated in every refresh().
///
/// Invariants:
/// - Every running task in the snapshot refers to a job that has entries in the snapshot, because
///   jobs are refreshed before machines.
/// - The entries of removed jobs and machines are emptied and reused by later ones, so the indexes
///   in Decisions are valid only until the next refresh(), forget_job() or forget_machine().
///
/// Not thread-safe: used by the shard leader's coroutines on the event loop. No member function
/// suspends.
class SnapshotBuilder {
 public:
  /// Other components of the shard leader. They have to outlive the builder.
  struct Dependencies {
    Loop& loop;
    const Settings& settings;
    RecordCache& cache;
    const MachineTypeCatalog& catalog;
    const quotas::TeamQuotas& quotas;
    const FaultAttribution& faults;
  };
  /// Queries to the shard leader about jobs, tasks and machines.
  struct Callbacks {
    std::function<bool(const Job&)> is_cancelled;
    /// Whether the job is in its back-off time after errors, in which none of its tasks is started.
    std::function<bool(const std::string& job)> is_backing_off;
    /// Number of tasks of the gang that may be started now.
    std::function<uint32_t(const Job&, TaskRange gang)> startable_gang_tasks;
    /// Time that a task of the job needs to save its state when it is stopped, in seconds.
    std::function<double(const JobSpec&)> stop_grace_s;
    /// Steady time in seconds since which the attempt has been running. Infinite if the attempt was
    /// not seen running yet; minus infinity if it has been running since before this lease.
    std::function<double(const TaskId&, uint64_t attempt)> running_since;
    /// Whether the task is being stopped, or has exited and its exit is not committed yet.
    std::function<bool(const PlacedTask&)> is_ending;
    std::function<bool(const Machine&)> is_schedulable;
    std::function<scheduling::Resources(const Machine&)> total_resources;
    std::function<scheduling::Resources(const Machine&)> free_resources;
  };
  /// A machine that was requested and has not sent a heartbeat yet.
  struct BootingMachine {
    std::string type, zone;
    bool spot = false;
    scheduling::Resources total;
  };

  SnapshotBuilder(Dependencies dependencies, Callbacks callbacks)
      : deps_(dependencies), callbacks_(std::move(callbacks)) {}

  /// Starts with an empty snapshot. No machine may have a `snapshot_index` of an earlier snapshot.
  void begin_lease();

  void mark_job_changed(Job& job) { changed_jobs_.insert(&job); }
  void mark_machine_changed(const std::string& machine) { changed_machines_.insert(machine); }
  /// Removes the job from the snapshot. Has to be called before `job` is destroyed.
  void forget_job(Job& job);
  /// Removes the machine from the snapshot. Has to be called before the machine is destroyed.
  void forget_machine(const Machine& machine);

  /// Updates the entries that were marked as changed, and all time-dependent state. Machines in
  /// `unreachable_zones` are not schedulable.
  void refresh(std::map<std::string, Machine>& machines,
               const std::set<std::string>& unreachable_zones,
               const std::vector<BootingMachine>& booting);

  /// Whether any job is backing off or faulty. Such jobs are evaluated in every refresh().
  bool has_held_back_jobs() const { return !held_back_.empty(); }
  const scheduling::SchedulerSnapshot& snapshot() const { return snapshot_; }
  /// The job of a snapshot entry.
  const Job& job_at(scheduling::JobIndex job) const { return *job_index_.owner(job).job; }
  /// Converts decisions from snapshot indexes to ids, which stay valid while the starts are being
  /// committed.
  DecidedStart resolve_start(scheduling::JobIndex job, scheduling::MachineIndex machine) const;
  DecidedGang resolve_gang(const scheduling::GangPlacement& gang) const;
  /// The name of a zone of the settings. Empty for 0 and for a zone that is not in the settings.
  std::string zone_name(scheduling::NameId zone);

 private:
  void refresh_jobs();
  void refresh_job(Job& job);
  void describe_job(const JobSpec& spec, scheduling::JobSnapshot& entry);
  uint32_t startable_tasks(const Job& job, uint32_t gang) const;
  void refresh_machine(Machine& machine);
  void describe_machine(const Machine& machine, scheduling::MachineSnapshot& entry);
  scheduling::RunningTaskSnapshot describe_task(const Machine& machine,
                                                const Assignment& assignment,
                                                uint64_t attempt) const;
  void refresh_booting(const std::vector<BootingMachine>& booting);
  void refresh_limits();

  const Dependencies deps_;
  const Callbacks callbacks_;
  scheduling::SchedulerSnapshot snapshot_;
  SnapshotIndex job_index_;
  std::vector<size_t> free_machine_indexes_;
  std::unordered_set<Job*> changed_jobs_;
  std::unordered_set<std::string> changed_machines_;
  std::set<std::string> held_back_;  // ids of jobs that back off or are faulty
};

}  // namespace damsonport
