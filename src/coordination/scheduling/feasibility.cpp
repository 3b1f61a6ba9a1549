#include "coordination/scheduling/feasibility.hpp"

#include "coordination/scheduling/contains.hpp"

namespace damsonport::scheduling {

namespace {

// Maximum number of tasks per zone for a job with the spread constraint.
uint32_t spread_limit(const JobSnapshot& job) { return (job.tasks + 1) / 2; }

bool within_limit(double used, double limit) {
  return limit <= 0 || used <= limit + resource_tolerance;
}

bool has_tasks_in_other_zones(const PlacementCount& count, NameId zone) {
  for (NameId other = 0; other < count.in_zone.size(); ++other)
    if (count.in_zone[other] > 0 && other != zone) return true;
  return false;
}

}  // namespace

bool Feasibility::quota_allows(JobIndex job, uint32_t tasks) const {
  const JobSnapshot& job_snapshot = snapshot_.jobs[job];
  if (!job_snapshot.team) return false;
  const Resources& limit = snapshot_.teams[*job_snapshot.team].limit;
  const Resources& used = state_.ledger.team_usage[*job_snapshot.team];
  return within_limit(used.cpus + tasks * job_snapshot.need.cpus, limit.cpus) &&
         within_limit(used.gpus + tasks * job_snapshot.need.gpus, limit.gpus);
}

bool Feasibility::zone_allows(JobIndex job, NameId zone) const {
  const JobSnapshot& job_snapshot = snapshot_.jobs[job];
  const NameId parts_zone = state_.ledger.parts_zone;
  if (job_snapshot.zone != any_zone && job_snapshot.zone != zone) return false;
  if (state_.parts_in_one_zone() && parts_zone != any_zone && parts_zone != zone) return false;
  if (!job_snapshot.one_zone && !job_snapshot.spread) return true;
  const PlacementCount& count = state_.placement_count(job);
  // A task on a machine whose zone is unknown has to be counted in every zone.
  const uint32_t unknown = count.in_zone[unknown_zone];
  if (job_snapshot.one_zone && (unknown > 0 || has_tasks_in_other_zones(count, zone))) return false;
  if (!job_snapshot.spread) return true;
  // The first part of a replica needs a zone in which all its pending parts may run.
  const bool needs_all = state_.parts_in_one_zone() && parts_zone == any_zone;
  const uint32_t needed = needs_all ? job_snapshot.pending_tasks : 1;
  return count.in_zone[zone] + unknown + needed <= spread_limit(job_snapshot);
}

uint32_t Feasibility::zone_allowance(JobIndex job, NameId zone) const {
  const JobSnapshot& job_snapshot = snapshot_.jobs[job];
  if (!zone_allows(job, zone)) return 0;
  if (!job_snapshot.spread) return job_snapshot.pending_tasks;
  const PlacementCount& count = state_.placement_count(job);
  return spread_limit(job_snapshot) - count.in_zone[zone] - count.in_zone[unknown_zone];
}

bool Feasibility::fits_one_zone(JobIndex job) const {
  const JobSnapshot& job_snapshot = snapshot_.jobs[job];
  if (!job_snapshot.spread) return true;
  for (NameId zone = first_name_id; zone < snapshot_.zones.size(); ++zone)
    if (zone_allowance(job, zone) >= job_snapshot.pending_tasks) return true;
  return false;
}

bool Feasibility::matches_constraints(JobIndex job, NameId type, NameId zone, bool spot) const {
  const JobSnapshot& job_snapshot = snapshot_.jobs[job];
  if (spot && !job_snapshot.spot) return false;
  if (!job_snapshot.types.empty() && !contains(job_snapshot.types, type)) return false;
  return zone_allows(job, zone);
}

bool Feasibility::is_feasible(JobIndex job, MachineIndex machine) const {
  const JobSnapshot& job_snapshot = snapshot_.jobs[job];
  const MachineSnapshot& target = snapshot_.machines[machine];
  if (job_snapshot.distinct_machines && state_.ledger.part_on[machine]) return false;
  if (!target.schedulable || !job_snapshot.need.fits(target.total)) return false;
  if (!matches_constraints(job, target.type, target.zone, target.spot)) return false;
  return target.failed_jobs.empty() || !contains(target.failed_jobs, job_snapshot.id);
}

}  // namespace damsonport::scheduling
