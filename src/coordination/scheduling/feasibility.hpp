/// Hard constraints: whether a task may run on a machine regardless of the machine's free capacity.
/// They cover machine types, zones, spot machines, machines on which the job failed, and the quota
/// limits of teams.
#pragma once
#include <cstdint>

#include "coordination/scheduling/cycle_state.hpp"
#include "coordination/scheduling/scheduler_snapshot.hpp"

namespace damsonport::scheduling {

/// Evaluates the constraints against the current CycleState. Constraints between the parts of a
/// replica are evaluated only for the job between CycleState::begin_job() and end_job().
class Feasibility {
 public:
  Feasibility(const SchedulerSnapshot& snapshot, const CycleState& state)
      : snapshot_(snapshot), state_(state) {}

  /// Whether the quota limit of the job's team permits this number of additional tasks. False for a
  /// job without a team.
  [[nodiscard]] bool quota_allows(JobIndex job, uint32_t tasks) const;
  /// Whether one more task of the job may run in the zone.
  [[nodiscard]] bool zone_allows(JobIndex job, NameId zone) const;
  /// Number of additional tasks of the job that may run in the zone. Without the spread constraint
  /// this is the number of pending tasks, or 0.
  [[nodiscard]] uint32_t zone_allowance(JobIndex job, NameId zone) const;
  /// Whether there is a zone in which all pending tasks of the job may run.
  [[nodiscard]] bool fits_one_zone(JobIndex job) const;
  /// Whether one more task of the job may run on machines of this type and zone. `spot`: whether
  /// they are spot machines.
  [[nodiscard]] bool matches_constraints(JobIndex job, NameId type, NameId zone, bool spot) const;
  /// Whether one more task of the job could run on the machine if the machine were empty.
  [[nodiscard]] bool is_feasible(JobIndex job, MachineIndex machine) const;

 private:
  const SchedulerSnapshot& snapshot_;
  const CycleState& state_;
};

}  // namespace damsonport::scheduling
