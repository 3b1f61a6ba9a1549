/// Preemption: selects the running tasks (victims) that are stopped to free capacity for a more
/// urgent job. Costs are seconds of lost run time plus penalties that are weighted like seconds.
#pragma once
#include <optional>
#include <vector>

#include "coordination/scheduling/cycle_context.hpp"

namespace damsonport::scheduling {

/// Used for one scheduling cycle.
class Preemptor {
 public:
  explicit Preemptor(const CycleContext& context) : context_(context) {}

  /// Preempts the cheapest set of victims that frees capacity for one more task of the job, and
  /// allocates this capacity to the task. Returns false if there is no such set.
  bool preempt_for(JobIndex job, PreemptionScope scope);
  /// Does the same on a machine that has the job's image cached, provided that the preemption costs
  /// less than `score`, which is the score of starting now on another machine, and frees the
  /// capacity in less than `within_s` seconds.
  bool preempt_with_cached_image(JobIndex job, double within_s, double score);

 private:
  /// Victims on one machine that together free enough capacity for a task.
  struct Plan {
    double cost = 0;
    MachineIndex machine;
    std::vector<size_t> victims;  // indexes in MachineSnapshot::running_tasks
  };
  [[nodiscard]] std::optional<Plan> find_cheapest(JobIndex job, PreemptionScope scope);
  /// Returns no plan if preemption on this machine can't free enough capacity.
  [[nodiscard]] std::optional<Plan> plan_on(JobIndex job, MachineIndex machine,
                                            PreemptionScope scope) const;
  [[nodiscard]] std::vector<size_t> find_victims(JobIndex job, MachineIndex machine,
                                                 PreemptionScope scope) const;
  void execute(JobIndex job, const Plan& plan);
  void stop_task(MachineIndex machine, size_t running_task_index, double grace_s);
  /// Stops all tasks of a gang, because the tasks of a gang can only save their state together.
  void stop_gang(JobIndex gang);

  [[nodiscard]] bool may_preempt(JobIndex job, const RunningTaskSnapshot& victim) const;
  [[nodiscard]] bool may_reclaim_guarantee(JobIndex job, JobIndex victim) const;
  [[nodiscard]] bool is_known_to_lack_victims(JobIndex job, PreemptionScope scope) const;

  /// Time in seconds within which the job should start, if it has an objective.
  [[nodiscard]] std::optional<double> start_objective_s(JobIndex job) const;
  [[nodiscard]] double run_time_s(const RunningTaskSnapshot& task) const;
  /// Run time in seconds that is lost if the task is stopped without a grace period.
  [[nodiscard]] double unsaved_run_time_s(const RunningTaskSnapshot& task) const;
  /// Whether the victim is stopped without a grace period.
  [[nodiscard]] bool skips_grace_period(JobIndex job, MachineIndex machine,
                                        const RunningTaskSnapshot& victim) const;
  [[nodiscard]] double preemption_cost(JobIndex job, MachineIndex machine,
                                       const RunningTaskSnapshot& victim) const;

  [[nodiscard]] bool frees_within(JobIndex job, const Plan& plan, double within_s) const;
  [[nodiscard]] double score_after_preemption(JobIndex job, const Plan& plan) const;

  const CycleContext context_;
};

}  // namespace damsonport::scheduling
