#include "coordination/scheduling/snapshot_builder.hpp"

#include <algorithm>

#include "coordination/scheduling/gangs.hpp"

namespace damsonport {

void SnapshotBuilder::begin_lease() {
  const Settings& settings = deps_.settings;
  snapshot_ = {};
  snapshot_.guarantee_within_s = settings.guarantee_objective_s();
  snapshot_.gang_hold_after_s = settings.gang_wait_s * settings.tuning.gang_hold_after_share;
  snapshot_.gang_hold_for_s = settings.gang_wait_s * settings.tuning.gang_hold_for_share;
  for (auto& team : settings.teams)
    snapshot_.teams.push_back({team.name, deps_.quotas.guarantee(team), deps_.quotas.limit(team)});
  job_index_.clear();
  free_machine_indexes_.clear();
  changed_jobs_.clear();
  changed_machines_.clear();
  held_back_.clear();
}

void SnapshotBuilder::forget_job(Job& job) {
  changed_jobs_.erase(&job);
  job_index_.release(&job, snapshot_.jobs);
  held_back_.erase(job.spec.id);
}

void SnapshotBuilder::forget_machine(const Machine& machine) {
  if (!machine.snapshot_index) return;
  snapshot_.machines[*machine.snapshot_index] = {};
  snapshot_.machines[*machine.snapshot_index].schedulable = false;
  free_machine_indexes_.push_back(*machine.snapshot_index);
}

void SnapshotBuilder::refresh(std::map<std::string, Machine>& machines,
                              const std::set<std::string>& unreachable_zones,
                              const std::vector<BootingMachine>& booting) {
  const double now = deps_.loop.now();
  // Jobs have to be refreshed first because running tasks refer to their entries.
  refresh_jobs();
  for (auto& id : changed_machines_)
    if (auto it = machines.find(id); it != machines.end()) refresh_machine(it->second);
  changed_machines_.clear();
  for (auto& [id, machine] : machines) {
    if (!machine.snapshot_index) continue;
    snapshot_.machines[*machine.snapshot_index].schedulable =
        callbacks_.is_schedulable(machine) && !unreachable_zones.contains(machine.zone);
  }
  refresh_booting(booting);
  refresh_limits();
  snapshot_.now = deps_.loop.unix_time();
  snapshot_.steady_now = now;
}

void SnapshotBuilder::refresh_jobs() {
  for (auto& id : held_back_)
    if (Job* job = deps_.cache.job(id)) changed_jobs_.insert(job);
  held_back_.clear();  // refresh_job() adds the jobs that are still held back
  std::vector<Job*> changed(changed_jobs_.begin(), changed_jobs_.end());
  // Sorted because entries are assigned in this order: equal histories have to lead to equal
  // decisions, and the order of the set depends on addresses.
  std::sort(changed.begin(), changed.end(),
            [](const Job* a, const Job* b) { return a->spec.id < b->spec.id; });
  for (Job* job : changed) refresh_job(*job);
  changed_jobs_.clear();
}

// Sets the fields that stay constant during the life of a job.
void SnapshotBuilder::describe_job(const JobSpec& spec, scheduling::JobSnapshot& entry) {
  entry.id = spec.id;
  for (size_t team = 0; team < snapshot_.teams.size(); ++team)
    if (snapshot_.teams[team].name == spec.team) entry.team = team;
  entry.image = snapshot_.images.id(spec.image);
  entry.image_gb = spec.image_gb;
  entry.service = spec.kind == JobKind::service;
  entry.gang = spec.gang_size() > 0;
  entry.replica = spec.replicated();
  // Replicas may be placed in any configured zone, also in those from which no machine has sent a
  // heartbeat yet.
  if (entry.replica)
    for (auto& zone : deps_.settings.zones) snapshot_.zones.id(zone);
  entry.distinct_machines = spec.distinct_machines;
  entry.priority = static_cast<int>(spec.priority);
  entry.need = {spec.cpus, spec.gpus, spec.memory_gb};
  for (auto& type : spec.types) entry.types.push_back(snapshot_.types.id(type));
  entry.zone = snapshot_.zones.id(spec.zone);
  entry.one_zone = spec.one_zone;
  entry.spread = spec.spread;
  entry.spot = spec.spot;
  entry.tasks = spec.tasks;
  entry.accepted_at = spec.accepted_at;
  entry.deadline = spec.deadline_s ? spec.accepted_at + *spec.deadline_s : 0;
  entry.start_within_s = deps_.settings.start_objective_s(spec.job_class);
  entry.estimate_s = spec.estimate_s;
  entry.checkpoint_s = spec.checkpoint_s;
  entry.grace_s = callbacks_.stop_grace_s(spec);
}

uint32_t SnapshotBuilder::startable_tasks(const Job& job, uint32_t gang) const {
  if (job.spec.gang_size() > 0)
    return callbacks_.startable_gang_tasks(job, gang_range(job.spec, gang));
  const auto unstarted = static_cast<uint32_t>(job.startable_count());
  if (!deps_.faults.is_job_faulty(job.spec.id)) return unstarted;
  // A faulty job runs one task at a time, to find out whether its tasks still fail.
  return job.live == 0 ? std::min(unstarted, 1U) : 0;
}

void SnapshotBuilder::refresh_job(Job& job) {
  bool created = false;
  const auto& indexes = job_index_.get_or_create(job, snapshot_.jobs, created);
  const JobSpec& spec = job.spec;
  const bool cancelled = callbacks_.is_cancelled(job);
  const bool backing_off = callbacks_.is_backing_off(spec.id);
  const bool faulty = deps_.faults.is_job_faulty(spec.id);
  if (backing_off || faulty) held_back_.insert(spec.id);
  for (uint32_t n = 0; n < indexes.size(); ++n) {
    auto& entry = snapshot_.jobs[indexes[n]];
    if (created) {
      describe_job(spec, entry);
      entry.replica_number = n;
      entry.replica_set = indexes.front();
    }
    entry.cancelled = cancelled;
    // Replicas are never treated as faulty: the capacity that is left over for faulty jobs is
    // hardly ever enough for a whole replica, and the attempts of a replica are already delayed and
    // limited according to its class.
    entry.faulty = faulty && !spec.replicated();
    entry.unfinished_tasks = static_cast<uint32_t>(spec.tasks - job.done);
    entry.begun = job.live + job.done > 0;
    if (spec.replicated()) {
      const TaskRangeSummary record = job.summarize(gang_range(spec, n));
      entry.unfinished_tasks = spec.parts - record.done;
      entry.begun = record.live > 0;
    }
    entry.pending_tasks = cancelled || backing_off ? 0 : startable_tasks(job, n);
  }
}

void SnapshotBuilder::refresh_machine(Machine& machine) {
  if (!machine.snapshot_index) {
    machine.snapshot_index = allocate_index(free_machine_indexes_, snapshot_.machines);
    snapshot_.machines[*machine.snapshot_index].id = machine.id;
  }
  auto& entry = snapshot_.machines[*machine.snapshot_index];
  describe_machine(machine, entry);
  entry.running_tasks.clear();
  for (auto& [assignment, attempt] : deps_.cache.assignments_on(machine.id))
    entry.running_tasks.push_back(describe_task(machine, assignment, attempt));
}

void SnapshotBuilder::describe_machine(const Machine& machine, scheduling::MachineSnapshot& entry) {
  entry.type = snapshot_.types.id(machine.type);
  entry.zone = snapshot_.zones.id(machine.zone);
  entry.spot = machine.spot;
  entry.total = callbacks_.total_resources(machine);
  entry.free = callbacks_.free_resources(machine);
  entry.straggler = machine.straggler.flagged;
  const bool speed_known =
      machine.straggler.updates >= deps_.settings.tuning.straggler_check_interval;
  entry.speed = speed_known ? machine.straggler.average : 1.0;
  if (auto* type = deps_.catalog.type(machine.type)) {
    entry.fetch_gb_per_s = type->fetch_gb_per_s;
    entry.relative_price = hourly_price(*type, machine.spot) / deps_.catalog.highest_price();
  }
  entry.images.clear();
  for (auto& [image, use] : machine.images.images())
    entry.images.push_back(snapshot_.images.id(image));
  entry.fetching.clear();
  for (auto& [image, since] : machine.fetching)
    entry.fetching.push_back(snapshot_.images.id(image));
  entry.failed_jobs.clear();
  for (auto& [job, at] : machine.failed_jobs) entry.failed_jobs.push_back(job);
}

scheduling::RunningTaskSnapshot SnapshotBuilder::describe_task(const Machine& machine,
                                                               const Assignment& assignment,
                                                               uint64_t attempt) const {
  const TaskId id{assignment.job->spec.id, assignment.index};
  scheduling::RunningTaskSnapshot entry;
  entry.job = job_index_.entry_of(assignment.job, assignment.index);
  entry.index = assignment.index;
  entry.attempt = attempt;
  entry.running_since = callbacks_.running_since(id, attempt);
  entry.stopping = callbacks_.is_ending({id, attempt, machine.id});
  return entry;
}

void SnapshotBuilder::refresh_booting(const std::vector<BootingMachine>& booting) {
  snapshot_.booting.clear();
  for (auto& machine : booting) {
    const scheduling::NameId type = snapshot_.types.id(machine.type);
    const scheduling::NameId zone = snapshot_.zones.id(machine.zone);
    snapshot_.booting.push_back({type, zone, machine.spot, machine.total});
  }
}

void SnapshotBuilder::refresh_limits() {
  if (!deps_.quotas.divided()) return;
  for (size_t team = 0; team < snapshot_.teams.size(); ++team)
    snapshot_.teams[team].limit = deps_.quotas.limit(deps_.settings.teams[team]);
}

DecidedStart SnapshotBuilder::resolve_start(scheduling::JobIndex job,
                                            scheduling::MachineIndex machine) const {
  auto& machine_entry = snapshot_.machines[machine];
  auto& job_entry = snapshot_.jobs[job];
  return {job_entry.id, machine_entry.id, scheduling::has_image(machine_entry, job_entry.image)};
}

DecidedGang SnapshotBuilder::resolve_gang(const scheduling::GangPlacement& gang) const {
  const auto& owner = job_index_.owner(gang.job);
  DecidedGang named{gang_range(owner.job->spec, owner.gang), {}};
  for (scheduling::MachineIndex machine : gang.machines)
    named.starts.push_back(resolve_start(gang.job, machine));
  return named;
}

std::string SnapshotBuilder::zone_name(scheduling::NameId zone) {
  if (zone == 0) return {};
  std::string name;
  for (auto& each : deps_.settings.zones)
    if (snapshot_.zones.id(each) == zone) name = each;
  return name;
}

}  // namespace damsonport
