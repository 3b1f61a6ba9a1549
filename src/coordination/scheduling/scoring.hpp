/// Soft preferences: how well a machine suits a task. Scores are seconds, or count like seconds;
/// the lower, the better.
#pragma once
#include <cstdint>

#include "coordination/scheduling/cycle_state.hpp"
#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// Seconds until the job's image would be on the machine.
[[nodiscard]] double image_delay(const JobSnapshot& job, const MachineSnapshot& machine);

/// Probability that a fetch takes longer than `objective_s`, if its time is off by up to a third
/// either way. 0 where there is no objective (0), or nothing to fetch.
[[nodiscard]] double miss_probability(double fetch_s, double objective_s);

/// The bin packing of accelerators is judged by the tasks there are: the most accelerators that one
/// task asks for, and the CPUs and memory that go with each. Jobs that may use spot machines have
/// capacity of their own there, and count only where there are no others.
struct AcceleratorDemand {
  double largest_task_gpus = 0;
  double cpus_per_gpu = 0;
  double memory_gb_per_gpu = 0;

  static AcceleratorDemand from_jobs(const SchedulerSnapshot& snapshot);
  /// How many accelerators can be used, going by the CPUs and memory that are left beside them.
  [[nodiscard]] double usable_gpus(const Resources& capacity) const;
};

class Scorer {
 public:
  Scorer(const SchedulerSnapshot& snapshot, const CycleState& state)
      : snapshot_(snapshot),
        state_(state),
        accelerator_demand_(AcceleratorDemand::from_jobs(snapshot)) {}

  /// Of one task on a machine of which `capacity` is free.
  [[nodiscard]] double score(JobIndex job, MachineIndex machine, const Resources& capacity) const;
  /// Of that many tasks of a gang on the machine. A gang starts with its slowest fetch and runs at
  /// the speed of its slowest machine.
  [[nodiscard]] double gang_score(JobIndex job, MachineIndex machine, uint32_t tasks) const;

 private:
  [[nodiscard]] bool uses_empty_machine(const JobSnapshot& job, MachineIndex machine) const;
  [[nodiscard]] double add_packing_penalty(double score, const JobSnapshot& job,
                                           const MachineSnapshot& machine,
                                           const Resources& capacity) const;
  [[nodiscard]] double add_cpu_task_penalty(double score, const Resources& capacity,
                                            const Resources& left) const;
  [[nodiscard]] double fragmentation_penalty(double free_gpus, double left_gpus,
                                             double need_gpus) const;

  const SchedulerSnapshot& snapshot_;
  const CycleState& state_;
  AcceleratorDemand accelerator_demand_;
};

}  // namespace damsonport::scheduling
