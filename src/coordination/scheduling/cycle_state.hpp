/// What a scheduling cycle has used and freed so far: capacity, quotas, and the places of the tasks
/// of pending jobs. Its parts read and change it; it makes no decisions.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/queue_order.hpp"
#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// Where the tasks of a pending job are, those that this cycle starts included. The replicas of a
/// job share one count.
struct PlacementCount {
  std::vector<uint32_t> in_zone;       ///< tasks, by NameId of the zone
  std::vector<MachineIndex> machines;  ///< one entry a task
};

/// A running task of a gang.
struct GangTask {
  MachineIndex machine;
  size_t running_task_index = 0;  ///< position in the machine's list of running tasks
};

/// Which running tasks a preemption may stop.
enum class PreemptionScope : uint8_t {
  exclude_urgent_services,  ///< all but replicas of services with an urgent priority
  any,
};
constexpr size_t preemption_scopes = 2;

/// The part of the state that a failed reservation for a gang puts back.
struct CapacityLedger {
  std::vector<Resources> free;                 ///< by machine
  std::vector<Resources> freeing;              ///< by machine: used by tasks that are being stopped
  std::vector<Resources> team_usage;           ///< by team
  std::vector<std::vector<size_t>> preempted;  ///< by machine: tasks preempted in this cycle
  /// Machines with freeing capacity; some may stand in it twice, or have none left.
  std::vector<MachineIndex> freeing_machines;
  std::vector<BootingMachine> booting;  ///< `room`: what is not promised to a job yet
  /// Jobs for which no preemption was possible since the last one, by PreemptionScope.
  std::array<std::vector<JobIndex>, preemption_scopes> jobs_without_victims;

  // Of the job that is being decided:
  std::vector<uint32_t> tasks_on;  ///< by machine: its tasks, or those of its replica set
  std::vector<uint8_t> part_on;    ///< by machine: whether a part of the same replica is there
  NameId parts_zone = any_zone;    ///< the zone of its parts, if `parts_in_one_zone`
};

class CycleState {
 public:
  CycleState(const SchedulerSnapshot& snapshot, const QueueOrder& queue);

  /// Loads and clears what the ledger knows of one job's own tasks; each job is decided in between.
  void begin_job(JobIndex job);
  void end_job(JobIndex job);

  /// The parts of the job being decided have to be in one zone.
  [[nodiscard]] bool parts_in_one_zone() const { return parts_in_one_zone_; }
  /// The spread constraint leaves no zone for all of them.
  void allow_parts_in_several_zones() { parts_in_one_zone_ = false; }

  [[nodiscard]] const PlacementCount& placement_count(JobIndex job) const {
    return placement_counts_[*placement_count_index_[job]];
  }

  /// Running tasks of a gang; none: it doesn't run.
  [[nodiscard]] const std::vector<GangTask>* find_gang_tasks(JobIndex gang) const;
  [[nodiscard]] bool is_gang_stopping(JobIndex gang) const;
  /// The task is being stopped, not counting preemptions of this cycle.
  [[nodiscard]] bool is_stopping(const RunningTaskSnapshot& task) const {
    return task.stopping || snapshot_.jobs[task.job].cancelled;
  }
  /// The lowest urgency among the tasks of this machine that are not being stopped. Without any,
  /// the highest number.
  [[nodiscard]] int least_urgency_on(MachineIndex machine) const { return least_urgency_[machine]; }
  /// Seconds until all tasks that are being stopped on the machine have saved their state.
  [[nodiscard]] double time_to_save_s(MachineIndex machine) const;

  /// One more task of the job will run on the machine: counts it, and charges the team's quota.
  void add_task(JobIndex job, MachineIndex machine);
  /// Takes a task's resources from what is free there first, and the rest from what is freeing.
  void allocate_freeing(JobIndex job, MachineIndex machine);

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
  std::vector<int> least_urgency_;                            // by machine
  std::vector<std::optional<size_t>> placement_count_index_;  // by job: into placement_counts_
  std::vector<PlacementCount> placement_counts_;
  std::unordered_map<size_t, std::vector<GangTask>> gang_tasks_;  // by job
  bool parts_in_one_zone_ = false;
};

}  // namespace damsonport::scheduling
