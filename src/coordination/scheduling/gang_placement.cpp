#include "coordination/scheduling/gang_placement.hpp"

#include <algorithm>

namespace damsonport::scheduling {

void GangPlacer::place(JobIndex gang) {
  const JobSnapshot& job = context_.snapshot.jobs[gang];
  if (!context_.feasibility.quota_allows(gang, job.pending_tasks)) return;
  if (is_known_unschedulable(gang)) {
    context_.decisions.unschedulable.push_back(*unschedulable_replica_);
    context_.decisions.unschedulable.back().job = gang;
    return;
  }
  const Plan plan = make_plan(gang);
  if (is_complete(gang, plan)) {
    allocate(gang, plan);
    context_.decisions.gang_placements.push_back({gang, plan.machines});
    return;
  }
  if (job.faulty || reserve_pending_capacity(gang, plan)) return;
  if (may_hold_capacity(gang)) {
    capacity_held_ = true;
    allocate(gang, plan);
  }
  report_unschedulable(gang, plan);
}

bool GangPlacer::is_complete(JobIndex gang, const Plan& plan) const {
  return count_unplaced(gang, plan) == 0;
}

uint32_t GangPlacer::count_unplaced(JobIndex gang, const Plan& plan) const {
  return context_.snapshot.jobs[gang].pending_tasks - static_cast<uint32_t>(plan.machines.size());
}

GangPlacer::Plan GangPlacer::make_plan(JobIndex gang) const {
  const std::vector<NameId> zones = zones_to_try(gang);
  // A plan in which all machines have the image cached is preferred: a single image fetch delays
  // the whole gang.
  Plan cached = best_plan(gang, zones, ImageFilter::cached_only);
  if (is_complete(gang, cached)) return cached;
  return best_plan(gang, zones, ImageFilter::any_machine);
}

std::vector<NameId> GangPlacer::zones_to_try(JobIndex gang) const {
  const bool one_zone = context_.snapshot.jobs[gang].one_zone || context_.state.parts_in_one_zone();
  if (!one_zone) return {any_zone};
  std::vector<NameId> zones;
  for (NameId zone = first_name_id; zone < context_.snapshot.zones.size(); ++zone)
    if (context_.feasibility.zone_allows(gang, zone)) zones.push_back(zone);
  return zones;
}

GangPlacer::Plan GangPlacer::best_plan(JobIndex gang, const std::vector<NameId>& zones,
                                       ImageFilter filter) const {
  Plan best;
  for (const NameId zone : zones) {
    Plan plan = plan_in_zone(gang, zone, filter);
    const size_t tasks = plan.machines.size();
    const size_t best_tasks = best.machines.size();
    if (tasks > best_tasks || (tasks == best_tasks && plan.score < best.score))
      best = std::move(plan);
  }
  return best;
}

std::vector<GangPlacer::Candidate> GangPlacer::find_candidates(JobIndex gang, NameId zone,
                                                               ImageFilter filter) const {
  const JobSnapshot& job = context_.snapshot.jobs[gang];
  const uint32_t max_tasks = job.distinct_machines ? 1 : job.pending_tasks;
  std::vector<Candidate> candidates;
  for (MachineIndex index; index < context_.snapshot.machines.size(); ++index) {
    const MachineSnapshot& machine = context_.snapshot.machines[index];
    const Resources& free = context_.state.ledger.free[index];
    if (!job.need.fits(free) || machine.straggler) continue;
    if (!context_.feasibility.is_feasible(gang, index)) continue;
    if (zone != any_zone && machine.zone != zone) continue;
    if (filter == ImageFilter::cached_only && !has_image(machine, job.image)) continue;
    const uint32_t capacity = std::min(count_fitting(job.need, free), max_tasks);
    if (capacity == 0) continue;
    candidates.push_back({context_.scorer.gang_score(gang, index, capacity), index, capacity});
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.score != b.score ? a.score < b.score : a.machine < b.machine;
  });
  return candidates;
}

GangPlacer::Plan GangPlacer::plan_in_zone(JobIndex gang, NameId zone, ImageFilter filter) const {
  Plan plan;
  std::vector<uint32_t> planned(context_.snapshot.zones.size());  // tasks, by zone
  for (const Candidate& candidate : find_candidates(gang, zone, filter)) {
    const NameId candidate_zone = context_.snapshot.machines[candidate.machine].zone;
    const uint32_t allowance =
        context_.feasibility.zone_allowance(gang, candidate_zone) - planned[candidate_zone];
    const uint32_t tasks = std::min({candidate.capacity, count_unplaced(gang, plan), allowance});
    if (tasks == 0) continue;
    planned[candidate_zone] += tasks;
    plan.machines.insert(plan.machines.end(), tasks, candidate.machine);
    plan.score = std::max(plan.score, candidate.score);
    if (is_complete(gang, plan)) break;
  }
  return plan;
}

void GangPlacer::allocate(JobIndex gang, const Plan& plan) {
  for (const MachineIndex machine : plan.machines) {
    context_.state.ledger.free[machine] -= context_.snapshot.jobs[gang].need;
    context_.state.add_task(gang, machine);
  }
}

bool GangPlacer::may_hold_capacity(JobIndex gang) const {
  const std::optional<double>& hold_after_s = context_.snapshot.gang_hold_after_s;
  if (capacity_held_ || !hold_after_s) return false;
  const double pending_s = context_.snapshot.now - context_.snapshot.jobs[gang].accepted_at;
  return pending_s >= *hold_after_s &&
         pending_s < *hold_after_s + context_.snapshot.gang_hold_for_s;
}

bool GangPlacer::reserve_pending_capacity(JobIndex gang, const Plan& partial) {
  CycleState::Checkpoint checkpoint = context_.state.checkpoint(gang);
  const size_t previous_preemptions = context_.decisions.preemptions.size();
  allocate(gang, partial);
  uint32_t freeing = 0;
  uint32_t booting = 0;
  for (uint32_t missing = count_unplaced(gang, partial); missing > 0; --missing) {
    const ReservedCapacity reserved = pending_capacity_.reserve(gang);
    if (reserved == ReservedCapacity::none) {
      // No tasks are preempted for a gang that can't start: undoes the reservations made so far.
      context_.state.restore(gang, std::move(checkpoint));
      context_.decisions.preemptions.resize(previous_preemptions);
      return false;
    }
    if (reserved == ReservedCapacity::booting) {
      ++booting;
    } else {
      ++freeing;
    }
  }
  context_.report_unschedulable(gang, booting, freeing);
  return true;
}

void GangPlacer::report_unschedulable(JobIndex gang, const Plan& plan) {
  const JobSnapshot& job = context_.snapshot.jobs[gang];
  context_.report_unschedulable(gang, job.pending_tasks, 0);
  UnschedulableTasks& report = context_.decisions.unschedulable.back();
  report.missing = count_unplaced(gang, plan);
  report.one_zone = job.one_zone || context_.state.parts_in_one_zone();
  report.zone = zone_for_new_capacity(gang, plan);
  const bool none_runs = !context_.state.find_gang_tasks(gang);
  if (job.replica && none_runs) unschedulable_replica_ = report;
}

NameId GangPlacer::zone_for_new_capacity(JobIndex gang, const Plan& plan) const {
  const JobSnapshot& job = context_.snapshot.jobs[gang];
  const bool one_zone = job.one_zone || context_.state.parts_in_one_zone();
  if (one_zone && !plan.machines.empty()) {
    const NameId planned = context_.snapshot.machines[plan.machines.front()].zone;
    if (planned != unknown_zone) return planned;
  }
  return job.replica ? only_zone_left(gang, plan) : any_zone;
}

// Returns the only zone in which the gang could place its missing tasks; any_zone if there are
// several such zones or none.
NameId GangPlacer::only_zone_left(JobIndex gang, const Plan& plan) const {
  const uint32_t needed = context_.state.parts_in_one_zone() ? count_unplaced(gang, plan) : 1;
  std::vector<uint32_t> planned(context_.snapshot.zones.size());  // tasks, by zone
  for (const MachineIndex machine : plan.machines)
    ++planned[context_.snapshot.machines[machine].zone];
  NameId only = any_zone;
  for (NameId zone = first_name_id; zone < context_.snapshot.zones.size(); ++zone) {
    const uint32_t allowance = context_.feasibility.zone_allowance(gang, zone);
    const uint32_t left = allowance - std::min(allowance, planned[zone]);
    if (left < needed) continue;
    if (only != any_zone) return any_zone;
    only = zone;
  }
  return only;
}

// Free capacity only decreases during a cycle, so a replica with the same needs can't be placed
// either.
bool GangPlacer::is_known_unschedulable(JobIndex replica) const {
  const JobSnapshot& job = context_.snapshot.jobs[replica];
  if (!job.replica || !unschedulable_replica_) return false;
  if (context_.state.find_gang_tasks(replica)) return false;
  return context_.snapshot.jobs[unschedulable_replica_->job].replica_set == job.replica_set;
}

}  // namespace damsonport::scheduling
