/// Gang scheduling: either all pending tasks of a gang are placed by one decision, or none of them.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/scheduling/cycle_context.hpp"
#include "coordination/scheduling/pending_capacity.hpp"

namespace damsonport::scheduling {

/// Used for one scheduling cycle.
class GangPlacer {
 public:
  GangPlacer(const CycleContext& context, PendingCapacity& pending_capacity)
      : context_(context), pending_capacity_(pending_capacity) {}

  /// Starts the gang, reserves pending capacity for all its tasks, or reports the gang as
  /// unschedulable.
  void place(JobIndex gang);

 private:
  /// Machines for the tasks of a gang, one entry per task. The plan is partial if there is not
  /// enough free capacity for all pending tasks.
  struct Plan {
    std::vector<MachineIndex> machines;
    double score = 0;  // score of the worst machine
  };
  /// A machine on which some of the tasks fit.
  struct Candidate {
    double score;
    MachineIndex machine;
    uint32_t capacity;  // number of tasks that fit
  };
  enum class ImageFilter : uint8_t { any_machine, cached_only };

  /// The best plan over all zones in which the gang may start.
  [[nodiscard]] Plan make_plan(JobIndex gang) const;
  [[nodiscard]] Plan best_plan(JobIndex gang, const std::vector<NameId>& zones,
                               ImageFilter filter) const;
  [[nodiscard]] Plan plan_in_zone(JobIndex gang, NameId zone, ImageFilter filter) const;
  [[nodiscard]] std::vector<NameId> zones_to_try(JobIndex gang) const;
  [[nodiscard]] std::vector<Candidate> find_candidates(JobIndex gang, NameId zone,
                                                       ImageFilter filter) const;
  [[nodiscard]] bool is_complete(JobIndex gang, const Plan& plan) const;
  [[nodiscard]] uint32_t count_unplaced(JobIndex gang, const Plan& plan) const;
  void allocate(JobIndex gang, const Plan& plan);

  /// Reserves pending capacity for the tasks that the partial plan leaves unplaced. Changes nothing
  /// and returns false if there is not enough for all of them.
  bool reserve_pending_capacity(JobIndex gang, const Plan& partial);
  /// Whether the gang may hold free capacity without starting. Only one gang per cycle may do so,
  /// and only for a limited time (SchedulerSnapshot::gang_hold_for_s).
  [[nodiscard]] bool may_hold_capacity(JobIndex gang) const;

  void report_unschedulable(JobIndex gang, const Plan& plan);
  /// The only zone in which new capacity would let the gang start; any_zone if there are several
  /// such zones or none.
  [[nodiscard]] NameId zone_for_new_capacity(JobIndex gang, const Plan& plan) const;
  [[nodiscard]] NameId only_zone_left(JobIndex gang, const Plan& plan) const;
  /// Whether another replica of the same job with the same need, of which no part runs either, was
  /// unschedulable in this cycle.
  [[nodiscard]] bool is_known_unschedulable(JobIndex replica) const;

  const CycleContext context_;
  PendingCapacity& pending_capacity_;
  bool capacity_held_ = false;  // for a gang in this cycle
  /// The last report of an unschedulable replica without running parts.
  std::optional<UnschedulableTasks> unschedulable_replica_;
};

}  // namespace damsonport::scheduling
