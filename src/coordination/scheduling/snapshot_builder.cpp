#include "coordination/scheduling/snapshot_builder.hpp"

#include <algorithm>

#include "coordination/scheduling/gangs.hpp"

namespace damsonport {

void SnapshotBuilder::begin_lease() {
  const Settings& settings = deps_.settings;
  snapshot_ = {};
  snapshot_.guarantee_within_s = settings.guarantee_within();
  snapshot_.gang_hold_after_s = settings.gang_wait_s * settings.tuning.gang_hold_after_share;
  snapshot_.gang_hold_for_s = settings.gang_wait_s * settings.tuning.gang_hold_for_share;
  for (auto& team : settings.teams)
    snapshot_.teams.push_back({team.name, deps_.quotas.guarantee(team), deps_.quotas.limit(team)});
  job_index_.clear();
  free_machine_indices_.clear();
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
  if (!machine.slot) return;
  snapshot_.machines[*machine.slot] = {};
  snapshot_.machines[*machine.slot].open = false;
  free_machine_indices_.push_back(*machine.slot);
}

void SnapshotBuilder::refresh(std::map<std::string, Machine>& machines,
                              const std::set<std::string>& unreachable_zones,
                              const std::vector<ExpectedMachine>& expected) {
  const double now = deps_.loop.now();
  // Jobs first: the machines' tasks refer to them.
  refresh_jobs();
  for (auto& id : changed_machines_)
    if (auto it = machines.find(id); it != machines.end()) refresh_machine(it->second);
  changed_machines_.clear();
  for (auto& [id, machine] : machines) {
    if (!machine.slot) continue;
    snapshot_.machines[*machine.slot].open =
        facts_.is_schedulable(machine) && !unreachable_zones.contains(machine.zone);
  }
  refresh_expected(expected);
  refresh_limits();
  snapshot_.now = deps_.loop.unix_time();
  snapshot_.steady_now = now;
}

void SnapshotBuilder::refresh_jobs() {
  for (auto& id : held_back_)
    if (Job* job = deps_.cache.job(id)) changed_jobs_.insert(job);
  held_back_.clear();  // put back where the reason goes on
  std::vector<Job*> changed(changed_jobs_.begin(), changed_jobs_.end());
  // In an order of its own, so that equal histories are decided equally.
  std::sort(changed.begin(), changed.end(),
            [](const Job* a, const Job* b) { return a->spec.id < b->spec.id; });
  for (Job* job : changed) refresh_job(*job);
  changed_jobs_.clear();
}

// What doesn't change as long as the job is there.
void SnapshotBuilder::describe_job(const JobSpec& spec, scheduling::JobSnapshot& view) {
  view.id = spec.id;
  for (size_t team = 0; team < snapshot_.teams.size(); ++team)
    if (snapshot_.teams[team].name == spec.team) view.team = team;
  view.image = snapshot_.images.id(spec.image);
  view.image_gb = spec.image_gb;
  view.service = spec.kind == JobKind::service;
  view.gang = spec.gang_size() > 0;
  view.replica = spec.replicated();
  // Also zones without a machine that has sent a heartbeat.
  if (view.replica)
    for (auto& zone : deps_.settings.zones) snapshot_.zones.id(zone);
  view.distinct_machines = spec.distinct_machines;
  view.priority = static_cast<int>(spec.priority);
  view.need = {spec.cpus, spec.gpus, spec.memory_gb};
  for (auto& type : spec.types) view.types.push_back(snapshot_.types.id(type));
  view.zone = snapshot_.zones.id(spec.zone);
  view.one_zone = spec.one_zone;
  view.spread = spec.spread;
  view.spot = spec.spot;
  view.tasks = spec.tasks;
  view.accepted_at = spec.accepted_at;
  view.deadline = spec.deadline_s ? spec.accepted_at + *spec.deadline_s : 0;
  view.start_within_s = deps_.settings.start_within(spec.job_class);
  view.estimate_s = spec.estimate_s;
  view.checkpoint_s = spec.checkpoint_s;
  view.grace_s = facts_.stop_grace_s(spec);
}

uint32_t SnapshotBuilder::startable_tasks(const Job& job, uint32_t gang) const {
  if (job.spec.gang_size() > 0) return facts_.startable_gang_tasks(job, gang_range(job.spec, gang));
  const auto unstarted = static_cast<uint32_t>(job.startable_count());
  if (!deps_.faults.is_job_faulty(job.spec.id)) return unstarted;
  // One task finds out whether it still fails.
  return job.live == 0 ? std::min(unstarted, 1U) : 0;
}

void SnapshotBuilder::refresh_job(Job& job) {
  bool fresh = false;
  const auto& indices = job_index_.take(job, snapshot_.jobs, fresh);
  const JobSpec& spec = job.spec;
  const bool cancelled = facts_.is_cancelled(job);
  const bool backing_off = facts_.is_backing_off(spec.id);
  const bool faulty = deps_.faults.is_job_faulty(spec.id);
  if (backing_off || faulty) held_back_.insert(spec.id);
  for (uint32_t n = 0; n < indices.size(); ++n) {
    auto& view = snapshot_.jobs[indices[n]];
    if (fresh) {
      describe_job(spec, view);
      view.replica_number = n;
      view.replica_set = indices.front();
    }
    view.cancelled = cancelled;
    // What is left over is hardly ever enough for a whole replica, and its tries are spaced out and
    // bounded by its class.
    view.faulty = faulty && !spec.replicated();
    view.unfinished = static_cast<uint32_t>(spec.tasks - job.done);
    view.begun = job.live + job.done > 0;
    if (spec.replicated()) {
      const TaskRangeSummary record = job.summarize(gang_range(spec, n));
      view.unfinished = spec.parts - record.done;
      view.begun = record.live > 0;
    }
    view.waiting = cancelled || backing_off ? 0 : startable_tasks(job, n);
  }
}

void SnapshotBuilder::refresh_machine(Machine& machine) {
  if (!machine.slot) {
    machine.slot = take_slot(free_machine_indices_, snapshot_.machines);
    snapshot_.machines[*machine.slot].id = machine.id;
  }
  auto& view = snapshot_.machines[*machine.slot];
  describe_machine(machine, view);
  view.live.clear();
  for (auto& [assignment, attempt] : deps_.cache.assignments_on(machine.id))
    view.live.push_back(describe_task(machine, assignment, attempt));
}

void SnapshotBuilder::describe_machine(const Machine& machine, scheduling::MachineSnapshot& view) {
  view.type = snapshot_.types.id(machine.type);
  view.zone = snapshot_.zones.id(machine.zone);
  view.spot = machine.spot;
  view.total = facts_.total_resources(machine);
  view.free = facts_.free_resources(machine);
  view.straggler = machine.straggler.flagged;
  const bool speed_known = machine.straggler.updates >= deps_.settings.tuning.straggler_test_every;
  view.speed = speed_known ? machine.straggler.average : 1.0;
  if (auto* type = deps_.catalog.type(machine.type)) {
    view.fetch_gb_per_s = type->fetch_gb_per_s;
    view.price_share = hourly_price(*type, machine.spot) / deps_.catalog.highest_price();
  }
  view.images.clear();
  for (auto& [image, use] : machine.images.images())
    view.images.push_back(snapshot_.images.id(image));
  view.fetching.clear();
  for (auto& [image, since] : machine.fetching) view.fetching.push_back(snapshot_.images.id(image));
  view.bad_jobs.clear();
  for (auto& [job, at] : machine.failed_jobs) view.bad_jobs.push_back(job);
}

scheduling::RunningTaskSnapshot SnapshotBuilder::describe_task(const Machine& machine,
                                                               const Assignment& assignment,
                                                               uint64_t attempt) const {
  const TaskId id{assignment.job->spec.id, assignment.index};
  scheduling::RunningTaskSnapshot view;
  view.job = job_index_.of(assignment.job, assignment.index);
  view.index = assignment.index;
  view.attempt = attempt;
  view.since = facts_.running_since(id, attempt);
  view.stopping = facts_.is_ending({id, attempt, machine.id});
  return view;
}

void SnapshotBuilder::refresh_expected(const std::vector<ExpectedMachine>& expected) {
  snapshot_.booting.clear();
  for (auto& machine : expected) {
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

DecidedStart SnapshotBuilder::start_by_name(scheduling::JobIndex job,
                                            scheduling::MachineIndex machine) const {
  auto& machine_view = snapshot_.machines[machine];
  auto& job_view = snapshot_.jobs[job];
  return {job_view.id, machine_view.id, scheduling::has_image(machine_view, job_view.image)};
}

DecidedGang SnapshotBuilder::gang_by_name(const scheduling::GangPlacement& gang) const {
  const auto& owner = job_index_.owner(gang.job);
  DecidedGang named{gang_range(owner.job->spec, owner.gang), {}};
  for (scheduling::MachineIndex machine : gang.machines)
    named.starts.push_back(start_by_name(gang.job, machine));
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
