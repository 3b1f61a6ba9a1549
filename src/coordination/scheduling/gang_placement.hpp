/// Gang scheduling: all pending tasks of a gang are placed by one decision, or none is.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/scheduling/cycle_context.hpp"
#include "coordination/scheduling/pending_capacity.hpp"

namespace damsonport::scheduling {

class GangPlacer {
 public:
  GangPlacer(const CycleContext& context, PendingCapacity& pending_capacity)
      : context_(context), pending_capacity_(pending_capacity) {}

  /// Starts the gang, promises pending capacity to all of it, or reports it as unschedulable.
  void place(JobIndex gang);

 private:
  /// Machines for the tasks of a gang, one entry a task. Fewer than are pending where free capacity
  /// is short.
  struct Plan {
    std::vector<MachineIndex> machines;
    double score = 0;  // of its worst machine
  };
  /// A machine for some of the tasks.
  struct Candidate {
    double score;
    MachineIndex machine;
    uint32_t capacity;  // tasks that fit
  };
  enum class ImageFilter : uint8_t { any_machine, cached_only };

  /// The best of the zones that the gang may start in.
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

  /// Adds pending capacity to a partial plan. Changes nothing unless there is enough for all tasks.
  bool reserve_pending_capacity(JobIndex gang, const Plan& partial);
  /// One gang in a cycle may hold free capacity without starting, for a bounded time.
  [[nodiscard]] bool may_hold_capacity(JobIndex gang) const;

  void report_unschedulable(JobIndex gang, const Plan& plan);
  /// Zone in which new capacity helps; any_zone: more than one, or none.
  [[nodiscard]] NameId zone_for_new_capacity(JobIndex gang, const Plan& plan) const;
  [[nodiscard]] NameId only_zone_left(JobIndex gang, const Plan& plan) const;
  /// A replica of the same job that needs as much was unschedulable in this cycle.
  [[nodiscard]] bool is_known_unschedulable(JobIndex replica) const;

  const CycleContext context_;
  PendingCapacity& pending_capacity_;
  bool capacity_held_ = false;  // for a gang, in this cycle
  /// The last report of a replica of which no part runs.
  std::optional<UnschedulableTasks> unschedulable_replica_;
};

}  // namespace damsonport::scheduling
