/// Keeps the scheduler's snapshot of jobs and machines up to date.
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

/// Builds the snapshot that a scheduling cycle decides on. It is kept from cycle to cycle, and only
/// jobs and machines that were marked as changed are described anew, so that a cycle costs what has
/// changed and not what there is. What changes with time alone (missed heartbeats, back-off) is
/// looked at in each refresh().
///
/// Invariants:
/// - Every running task of a machine in the snapshot refers to a job that has its entries there:
///   jobs are refreshed before machines.
/// - Entries of jobs and machines that are gone stay empty until they are used again, so the
///   indexes in a decision are valid until the next refresh() or forget_...() only.
///
/// Not a coroutine's: no call suspends. Used by the shard leader's coroutines on the loop's thread.
class SnapshotBuilder {
 public:
  struct Dependencies {
    Loop& loop;
    const Settings& settings;
    RecordCache& cache;
    const MachineTypeCatalog& catalog;
    const quotas::TeamQuotas& quotas;
    const FaultAttribution& faults;
  };
  /// What else has to be known of jobs, tasks and machines.
  struct Callbacks {
    std::function<bool(const Job&)> is_cancelled;
    /// After errors, no task of the job is started for a time.
    std::function<bool(const std::string& job)> is_backing_off;
    /// Tasks of the gang that may be started now.
    std::function<uint32_t(const Job&, TaskRange gang)> startable_gang_tasks;
    /// What a task needs to save its state when it is stopped, in seconds.
    std::function<double(const JobSpec&)> stop_grace_s;
    /// Steady time; infinite: not seen running yet; minus infinity: since before this lease.
    std::function<double(const TaskId&, uint64_t attempt)> running_since;
    /// The task is being stopped, or its exit waits to be committed.
    std::function<bool(const PlacedTask&)> is_ending;
    std::function<bool(const Machine&)> is_schedulable;
    std::function<scheduling::Resources(const Machine&)> total_resources;
    std::function<scheduling::Resources(const Machine&)> free_resources;
  };
  /// A machine that was asked for and has not sent a heartbeat yet.
  struct BootingMachine {
    std::string type, zone;
    bool spot = false;
    scheduling::Resources total;
  };

  SnapshotBuilder(Dependencies dependencies, Callbacks callbacks)
      : deps_(dependencies), callbacks_(std::move(callbacks)) {}

  /// Begins with an empty snapshot. Machines must not have an index in an earlier one.
  void begin_lease();

  void mark_job_changed(Job& job) { changed_jobs_.insert(&job); }
  void mark_machine_changed(const std::string& machine) { changed_machines_.insert(machine); }
  /// The job's object is about to go away.
  void forget_job(Job& job);
  /// The machine is about to be forgotten.
  void forget_machine(const Machine& machine);

  /// Describes what has changed. `unreachable_zones`: no machine there takes tasks now.
  void refresh(std::map<std::string, Machine>& machines,
               const std::set<std::string>& unreachable_zones,
               const std::vector<BootingMachine>& booting);

  /// Jobs that back off after errors or are faulty wait to be looked at again.
  bool has_held_back_jobs() const { return !held_back_.empty(); }
  const scheduling::SchedulerSnapshot& snapshot() const { return snapshot_; }
  /// The job behind a job index of the snapshot.
  const Job& job_at(scheduling::JobIndex job) const { return *job_index_.owner(job).job; }
  /// Decisions by name, which stay valid while their commits are under way.
  DecidedStart resolve_start(scheduling::JobIndex job, scheduling::MachineIndex machine) const;
  DecidedGang resolve_gang(const scheduling::GangPlacement& gang) const;
  /// Empty: the index is 0 or that of no zone in the settings.
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
  std::set<std::string> held_back_;  ///< Jobs that back off or are faulty.
};

}  // namespace damsonport
