/// Preemption: which running tasks are stopped to free capacity for a more urgent job, and at what
/// cost. Costs are seconds, or count like seconds.
#pragma once
#include <optional>
#include <vector>

#include "coordination/scheduling/cycle_context.hpp"

namespace damsonport::scheduling {

class Preemptor {
 public:
  explicit Preemptor(const CycleContext& context) : context_(context) {}

  /// Preempts the cheapest tasks that free capacity for one more task of the job, and takes that
  /// capacity. False: there are none.
  bool preempt_for(JobIndex job, PreemptionScope scope);
  /// Likewise on a machine that has the job's image. Only where that costs less than `score`, the
  /// score of starting now on another machine, and frees the capacity within `within_s`.
  bool preempt_with_cached_image(JobIndex job, double within_s, double score);

 private:
  /// Tasks that are stopped together on one machine.
  struct Plan {
    double cost = 0;
    MachineIndex machine;
    std::vector<size_t> victims;  // positions in the machine's list
  };
  [[nodiscard]] std::optional<Plan> find_cheapest(JobIndex job, PreemptionScope scope);
  /// None: no preemption on this machine frees enough.
  [[nodiscard]] std::optional<Plan> plan_on(JobIndex job, MachineIndex machine,
                                            PreemptionScope scope) const;
  [[nodiscard]] std::vector<size_t> find_victims(JobIndex job, MachineIndex machine,
                                                 PreemptionScope scope) const;
  void execute(JobIndex job, const Plan& plan);
  void stop_task(MachineIndex machine, size_t running_task_index, double grace_s);
  /// Stops all tasks of a gang: one of them alone could not save its state.
  void stop_gang(JobIndex gang);

  [[nodiscard]] bool may_preempt(JobIndex job, const RunningTaskSnapshot& victim) const;
  [[nodiscard]] bool may_reclaim_guarantee(JobIndex job, JobIndex victim) const;
  [[nodiscard]] bool is_known_to_lack_victims(JobIndex job, PreemptionScope scope) const;

  /// Seconds within which the job should start; none: no objective.
  [[nodiscard]] std::optional<double> start_objective_s(JobIndex job) const;
  [[nodiscard]] double run_time_s(const RunningTaskSnapshot& task) const;
  /// Work that is lost when the task gets no time to save its state, in seconds.
  [[nodiscard]] double unsaved_run_time_s(const RunningTaskSnapshot& task) const;
  /// Whether the task gets no time to save its state.
  [[nodiscard]] bool skips_grace_period(JobIndex job, MachineIndex machine,
                                        const RunningTaskSnapshot& victim) const;
  [[nodiscard]] double preemption_cost(JobIndex job, MachineIndex machine,
                                       const RunningTaskSnapshot& victim) const;

  [[nodiscard]] bool frees_within(JobIndex job, const Plan& plan, double within_s) const;
  [[nodiscard]] double score_after_preemption(JobIndex job, const Plan& plan) const;

  const CycleContext context_;
};

}  // namespace damsonport::scheduling
