#include "coordination/scheduling/pending_capacity.hpp"

#include <algorithm>
#include <limits>

namespace damsonport::scheduling {

ReservedCapacity PendingCapacity::reserve(JobIndex job) {
  // Capacity that is already being freed goes to the most urgent jobs, which are handled first.
  // Urgent services are preempted only if no booting machine has capacity for the task: a preempted
  // replica would be ready again later than the booting machine.
  if (reserve_freeing(job, std::nullopt)) return ReservedCapacity::freeing;
  if (preemptor_.preempt_for(job, PreemptionScope::exclude_urgent_services))
    return ReservedCapacity::freeing;
  if (reserve_booting(job)) return ReservedCapacity::booting;
  if (preemptor_.preempt_for(job, PreemptionScope::any)) return ReservedCapacity::freeing;
  return ReservedCapacity::none;
}

bool PendingCapacity::reserve_with_cached_image(JobIndex job, double fetch_s, double score) {
  // Waiting for capacity is useless if it takes as long as the fetch or as the start-up objective.
  const double within_s = std::min(fetch_s, context_.snapshot.jobs[job].start_within_s);
  // Capacity that an earlier cycle began to free for the task comes first. Otherwise the task would
  // start on another machine in the meantime.
  if (reserve_freeing(job, CachedImageBounds{within_s, score})) return true;
  return preemptor_.preempt_with_cached_image(job, within_s, score);
}

bool PendingCapacity::has_image_within(JobIndex job, MachineIndex machine, double within_s) const {
  return has_image(context_.snapshot.machines[machine], context_.snapshot.jobs[job].image) &&
         context_.state.time_to_save_s(machine) < within_s;
}

bool PendingCapacity::reserve_freeing(JobIndex job,
                                      const std::optional<CachedImageBounds>& cached_image_bounds) {
  const CapacityLedger& ledger = context_.state.ledger;
  const Resources& need = context_.snapshot.jobs[job].need;
  context_.decisions.machines_examined += ledger.freeing_machines.size();
  double best_score = cached_image_bounds ? cached_image_bounds->max_score
                                          : std::numeric_limits<double>::infinity();
  std::optional<MachineIndex> best;
  for (const MachineIndex machine : ledger.freeing_machines) {
    if (!ledger.freeing[machine].any()) continue;
    if (cached_image_bounds && !has_image_within(job, machine, cached_image_bounds->within_s))
      continue;
    const Resources capacity = ledger.free[machine] + ledger.freeing[machine];
    if (!need.fits(capacity) || !context_.feasibility.is_feasible(job, machine)) continue;
    const double score = context_.scorer.score(job, machine, capacity);
    const bool wins_tie = best && score == best_score && machine < *best;
    if (score >= best_score && !wins_tie) continue;
    best_score = score;
    best = machine;
  }
  if (!best) return false;
  context_.state.allocate_freeing(job, *best);
  return true;
}

bool PendingCapacity::reserve_booting(JobIndex job) {
  const JobSnapshot& pending = context_.snapshot.jobs[job];
  CapacityLedger& ledger = context_.state.ledger;
  for (BootingMachine& machine : ledger.booting) {
    if (!pending.need.fits(machine.capacity)) continue;
    if (!context_.feasibility.matches_constraints(job, machine.type, machine.zone, machine.spot))
      continue;
    machine.capacity -= pending.need;
    ledger.team_usage[*pending.team] += pending.need;  // charged in advance
    if (context_.state.parts_in_one_zone()) ledger.parts_zone = machine.zone;
    return true;
  }
  return false;
}

}  // namespace damsonport::scheduling
