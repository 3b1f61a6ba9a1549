/// Hard constraints: whether a task may run on a machine at all, whatever is free there. Machine
/// types, zones, spot, failed machines, and the quota limits of teams.
#pragma once
#include <cstdint>

#include "coordination/scheduling/cycle_state.hpp"
#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

class Feasibility {
 public:
  Feasibility(const SchedulerSnapshot& snapshot, const CycleState& state)
      : snapshot_(snapshot), state_(state) {}

  /// Whether the team's quota limit leaves room for this many more tasks of the job.
  [[nodiscard]] bool quota_allows(JobIndex job, uint32_t tasks) const;
  /// Whether one more task of the job may run in the zone.
  [[nodiscard]] bool zone_allows(JobIndex job, NameId zone) const;
  /// How many more tasks of the job may run in the zone, at most all that are pending.
  [[nodiscard]] uint32_t zone_allowance(JobIndex job, NameId zone) const;
  /// Whether some zone may take all pending tasks of the job.
  [[nodiscard]] bool fits_one_zone(JobIndex job) const;
  /// Whether one more task of the job may run on machines of this kind.
  [[nodiscard]] bool matches_constraints(JobIndex job, NameId type, NameId zone, bool spot) const;
  /// Whether one more task of the job may run on the machine if it were empty.
  [[nodiscard]] bool is_feasible(JobIndex job, MachineIndex machine) const;

 private:
  const SchedulerSnapshot& snapshot_;
  const CycleState& state_;
};

}  // namespace damsonport::scheduling
