/// The capacity and quotas that a scheduling cycle has used and freed so far, and the locations of
/// the tasks of pending jobs. The components of the cycle read and update this state, which
/// contains no decision logic.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/queue_order.hpp"
#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// Where the tasks of a pending job run, including the tasks that this cycle starts. The replicas
/// of a job share one count.
struct PlacementCount {
  std::vector<uint32_t> in_zone;       ///< number of tasks, by NameId of the zone
  std::vector<MachineIndex> machines;  ///< one entry per task
};

/// Location of a running task of a gang.
struct GangTask {
  MachineIndex machine;
  size_t running_task_index = 0;  ///< index in MachineSnapshot::running_tasks
};

/// Which running tasks a preemption may stop.
enum class PreemptionScope : uint8_t {
  exclude_urgent_services,  ///< all but replicas of services with an urgent priority
  any,                      ///< all tasks
};
/// Number of values of PreemptionScope.
constexpr size_t preemption_scopes = 2;

/// Capacity and quota accounting of the cycle. CycleState::restore() resets it when the reservation
/// of capacity for a gang fails.
struct CapacityLedger {
  std::vector<Resources> free;        ///< unused capacity, by machine
  std::vector<Resources> freeing;     ///< unreserved capacity of stopping tasks, by machine
  std::vector<Resources> team_usage;  ///< charged to the quota, by team
  std::vector<std::vector<size_t>> preempted;  ///< in this cycle, by machine
  /// Machines with capacity that is being freed. May contain duplicates, and machines of which no
  /// such capacity is left.
  std::vector<MachineIndex> freeing_machines;
  std::vector<BootingMachine> booting;  ///< `capacity` without what is reserved
  /// Jobs for which no task could be preempted, by PreemptionScope. Emptied by every preemption,
  /// which may free more capacity than its own job uses.
  std::array<std::vector<JobIndex>, preemption_scopes> jobs_without_victims;

  // The fields below describe the job between begin_job() and end_job().
  /// Number of tasks of the job, or of all replicas of its replica set, by machine.
  std::vector<uint32_t> tasks_on;
  std::vector<uint8_t> part_on;  ///< whether a part of the same replica runs there, by machine
  /// Zone of the parts of the replica, if parts_in_one_zone() holds.
  NameId parts_zone = any_zone;
};

/// Owned by the SchedulingCycle and used for one cycle. The snapshot and the queue have to outlive
/// the state.
class CycleState {
 public:
  CycleState(const SchedulerSnapshot& snapshot, const QueueOrder& queue);

  /// Sets the per-job fields of the ledger. Decisions for a job are made between begin_job() and
  /// end_job().
  void begin_job(JobIndex job);
  /// Clears the per-job fields of the ledger.
  void end_job(JobIndex job);

  /// Whether the parts of the current job, which is a replica, have to be placed in one zone.
  [[nodiscard]] bool parts_in_one_zone() const { return parts_in_one_zone_; }
  /// Lifts the restriction to one zone. Called if the spread constraint leaves no zone for all
  /// parts.
  void allow_parts_in_several_zones() { parts_in_one_zone_ = false; }

  /// The job must be pending, or a replica of a job with a pending replica.
  [[nodiscard]] const PlacementCount& placement_count(JobIndex job) const {
    return placement_counts_[*placement_count_index_[job]];
  }

  /// The running tasks of a gang; null if the gang has none.
  [[nodiscard]] const std::vector<GangTask>* find_gang_tasks(JobIndex gang) const;
  /// Whether any task of the gang is being stopped. The gang must have running tasks.
  [[nodiscard]] bool is_gang_stopping(JobIndex gang) const;
  /// Whether the task is being stopped. Preemptions of this cycle don't count.
  [[nodiscard]] bool is_stopping(const RunningTaskSnapshot& task) const {
    return task.stopping || snapshot_.jobs[task.job].cancelled;
  }
  /// The lowest urgency of the tasks on the machine that are not being stopped; the maximum of int
  /// if there are none.
  [[nodiscard]] int lowest_urgency_on(MachineIndex machine) const {
    return lowest_urgency_[machine];
  }
  /// Time in seconds until all tasks that are being stopped on the machine have saved their state.
  [[nodiscard]] double time_to_save_s(MachineIndex machine) const;

  /// Counts one more task of the job on the machine, and charges the quota of the job's team.
  void add_task(JobIndex job, MachineIndex machine);
  /// Adds a task to the machine and allocates its resources from the free capacity first, and the
  /// rest from the capacity that is being freed.
  void allocate_freeing(JobIndex job, MachineIndex machine);

  /// Copy of the state that restore() resets.
  struct Checkpoint {
    CapacityLedger ledger;
    PlacementCount placement_count;
  };
  [[nodiscard]] Checkpoint checkpoint(JobIndex job) const { return {ledger, placement_count(job)}; }
  void restore(JobIndex job, Checkpoint&& checkpoint);

  CapacityLedger ledger;

 private:
  void create_placement_counts();
  void share_placement_counts(const std::unordered_map<size_t, size_t>& count_index_of_replica_set);
  void add_machine(MachineIndex index);
  void constrain_parts_to_zone(JobIndex replica);
  PlacementCount& mutable_placement_count(JobIndex job) {
    return placement_counts_[*placement_count_index_[job]];
  }

  const SchedulerSnapshot& snapshot_;
  const QueueOrder& queue_;
  std::vector<int> lowest_urgency_;                           // by machine
  std::vector<std::optional<size_t>> placement_count_index_;  // by job: into placement_counts_
  std::vector<PlacementCount> placement_counts_;
  std::unordered_map<size_t, std::vector<GangTask>> gang_tasks_;  // by job
  bool parts_in_one_zone_ = false;
};

}  // namespace damsonport::scheduling
