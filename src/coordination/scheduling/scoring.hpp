/// Soft preferences: rates how well a machine suits a task. Scores are seconds of delay plus
/// penalties that are weighted like seconds. Lower scores are better.
#pragma once
#include <cstdint>

#include "coordination/scheduling/cycle_state.hpp"
#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// Time in seconds until the job's image would be completely fetched on the machine; 0 if the image
/// is cached there.
[[nodiscard]] double image_delay(const JobSnapshot& job, const MachineSnapshot& machine);

/// Probability that a fetch takes longer than `objective_s`, assuming that its actual duration is
/// uniformly distributed within a third of `fetch_s` in either direction. Returns 0 if there is no
/// objective (`objective_s` is 0) or nothing to fetch (`fetch_s` is 0).
[[nodiscard]] double miss_probability(double fetch_s, double objective_s);

/// The largest needs among the snapshot's jobs with accelerators. The bin packing of accelerators
/// is rated by them. Jobs that may use spot machines can use capacity of their own there, so they
/// count only if no other job needs accelerators.
struct AcceleratorDemand {
  double largest_task_gpus = 0;  ///< most accelerators of one task
  double cpus_per_gpu = 0;       ///< most CPUs for each accelerator
  double memory_gb_per_gpu = 0;  ///< most memory for each accelerator

  static AcceleratorDemand from_jobs(const SchedulerSnapshot& snapshot);
  /// Number of accelerators of the capacity that can be used, given its CPUs and memory.
  [[nodiscard]] double usable_gpus(const Resources& capacity) const;
};

/// Rates machines against the current CycleState. The snapshot and the state have to outlive the
/// scorer.
class Scorer {
 public:
  Scorer(const SchedulerSnapshot& snapshot, const CycleState& state)
      : snapshot_(snapshot),
        state_(state),
        accelerator_demand_(AcceleratorDemand::from_jobs(snapshot)) {}

  /// Score of one task on a machine with the free capacity `capacity`.
  [[nodiscard]] double score(JobIndex job, MachineIndex machine, const Resources& capacity) const;
  /// Score of `tasks` tasks of a gang on the machine. The score of a whole gang is that of its
  /// worst machine, because the gang waits for its slowest image fetch and runs at the speed of its
  /// slowest machine.
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
