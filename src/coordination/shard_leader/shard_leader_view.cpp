// What placement sees of jobs and machines, kept up to date by what changed.
#include <algorithm>
#include <limits>

#include "coordination/machines/machine_capacity.hpp"
#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

void ShardLeader::reset_snapshot() {
  snapshot_ = {};
  snapshot_.guarantee_within_s = settings_.guarantee_within();
  snapshot_.gang_hold_after_s = settings_.gang_wait_s * tuning_.gang_hold_after_share;
  snapshot_.gang_hold_for_s = settings_.gang_wait_s * tuning_.gang_hold_for_share;
  for (auto& t : settings_.teams)
    snapshot_.teams.push_back({t.name, deps_.quotas.guarantee(t), deps_.quotas.limit(t)});
  job_index_.clear();
  free_machine_slots_.clear();
  changed_jobs_.clear();
  changed_machines_.clear();
  held_back_.clear();
  over_.clear();
}

// What doesn't change as long as the job is there.
void ShardLeader::describe_job(const JobSpec& s, scheduling::JobSnapshot& v) {
  v.id = s.id;
  for (size_t t = 0; t < snapshot_.teams.size(); ++t)
    if (snapshot_.teams[t].name == s.team) v.team = t;
  v.image = snapshot_.images.id(s.image);
  v.image_gb = s.image_gb;
  v.service = s.kind == JobKind::service;
  v.gang = s.gang_size() > 0;
  v.replica = s.replicated();
  // Also zones of which no machine was heard yet.
  if (v.replica)
    for (auto& zone : settings_.zones) snapshot_.zones.id(zone);
  v.distinct_machines = s.distinct_machines;
  v.priority = static_cast<int>(s.priority);
  v.need = {s.cpus, s.gpus, s.memory_gb};
  for (auto& type : s.types) v.types.push_back(snapshot_.types.id(type));
  v.zone = snapshot_.zones.id(s.zone);
  v.one_zone = s.one_zone;
  v.spread = s.spread;
  v.spot = s.spot;
  v.tasks = s.tasks;
  v.accepted_at = s.accepted_at;
  v.due_at = s.deadline_s >= 0 ? s.accepted_at + s.deadline_s : 0;
  v.start_within_s = settings_.start_within(s.job_class);
  v.estimate_s = s.estimate_s;
  v.checkpoint_s = s.checkpoint_s;
  v.grace_s = stop_grace(s);
}

uint32_t ShardLeader::startable_tasks(const Job& job, uint32_t gang) {
  if (job.spec.gang_size() > 0) return startable_gang_tasks(job, gang_range(job.spec, gang));
  const auto unstarted = static_cast<uint32_t>(job.unstarted());
  if (!task_failures_.attribution().is_job_faulty(job.spec.id)) return unstarted;
  // One task finds out whether it still fails.
  return job.live == 0 ? std::min(unstarted, 1U) : 0;
}

void ShardLeader::refresh_job(Job& job) {
  bool fresh = false;
  const auto& slots = job_index_.take(job, snapshot_.jobs, fresh);
  auto& s = job.spec;
  const bool cancelled = is_cancelled(job);
  const bool held_back = task_failures_.is_held_back(s.id, loop_.now());
  const bool faulty = task_failures_.attribution().is_job_faulty(s.id);
  // Looked at again until it works.
  if (held_back || faulty) held_back_.insert(s.id);
  for (uint32_t n = 0; n < slots.size(); ++n) {
    auto& v = snapshot_.jobs[slots[n]];
    if (fresh) {
      describe_job(s, v);
      v.replica_number = n;
      v.family = slots.front();
    }
    v.cancelled = cancelled;
    // What is left over is hardly ever enough for a whole replica, and its tries are spaced out and
    // bounded by its class.
    v.faulty = faulty && !s.replicated();
    v.unfinished = static_cast<uint32_t>(s.tasks - job.done);
    v.begun = job.live + job.done > 0;
    if (s.replicated()) {
      const RangeRecord record = job.record_of(gang_range(s, n));
      v.unfinished = s.parts - record.done;
      v.begun = record.live > 0;
    }
    v.waiting = cancelled || held_back ? 0 : startable_tasks(job, n);
  }
}

void ShardLeader::refresh_machine(Machine& m) {
  if (!m.slot) {
    m.slot = take_slot(free_machine_slots_, snapshot_.machines);
    snapshot_.machines[*m.slot].id = m.id;
  }
  auto& v = snapshot_.machines[*m.slot];
  v.type = snapshot_.types.id(m.type);
  v.zone = snapshot_.zones.id(m.zone);
  v.spot = m.spot;
  v.total = total_resources(m, deps_.catalog);
  v.free = free_resources(m, deps_.catalog, cache_);
  v.straggler = m.straggler.flagged;
  v.speed = m.straggler.updates >= tuning_.straggler_test_every ? m.straggler.average : 1.0;
  if (auto* type = deps_.catalog.type(m.type)) {
    v.fetch_gb_per_s = type->fetch_gb_per_s;
    v.price_share = (m.spot ? type->spot_price : type->price) / deps_.catalog.dearest_price();
  }
  v.images.clear();
  for (auto& [image, use] : m.images.images()) v.images.push_back(snapshot_.images.id(image));
  v.fetching.clear();
  for (auto& [image, since] : m.fetching) v.fetching.push_back(snapshot_.images.id(image));
  v.bad_jobs.clear();
  for (auto& [job, at] : m.failed_jobs) v.bad_jobs.push_back(job);
  v.live.clear();
  for (auto& [a, attempt] : cache_.assigned(m.id)) {
    scheduling::RunningTaskSnapshot l;
    l.job = job_index_.of(a.job, a.index);
    l.index = a.index;
    l.attempt = attempt;
    const TaskId name{a.job->spec.id, a.index};
    // Started by an earlier holder: long ago.
    l.since = -std::numeric_limits<double>::infinity();
    if (auto it = attempts_.find(name); it != attempts_.end())
      if (auto t = it->second.find(attempt); t != it->second.end())
        l.since = t->second.running_at > 0 ? t->second.running_at
                                           : std::numeric_limits<double>::infinity();
    l.stopping = is_stopping({name, attempt, m.id}) || exits_.contains(name);
    v.live.push_back(l);
  }
}

void ShardLeader::forget_machine(const std::string& id) {
  task_failures_.forget_machine(id);
  deduplicator_.forget(id);
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  if (it->second.slot) {
    snapshot_.machines[*it->second.slot] = {};
    snapshot_.machines[*it->second.slot].open = false;
    free_machine_slots_.push_back(*it->second.slot);
  }
  machines_.erase(it);
}

void ShardLeader::refresh_snapshot() {
  const double now = loop_.now();
  for (auto it = held_back_.begin(); it != held_back_.end();) {
    if (Job* job = cache_.job(*it)) changed_jobs_.insert(job);
    it = held_back_.erase(it);  // put back if its pause goes on
  }
  for (auto& id : replicas_.offer_repairs())
    if (Job* job = cache_.job(id)) changed_jobs_.insert(job);
  // Jobs first: the machines' tasks refer to them.
  std::vector<Job*> dirty(changed_jobs_.begin(), changed_jobs_.end());
  std::sort(dirty.begin(), dirty.end(), [](Job* a, Job* b) { return a->spec.id < b->spec.id; });
  for (Job* job : dirty) refresh_job(*job);
  changed_jobs_.clear();
  for (auto& id : changed_machines_)
    if (auto it = machines_.find(id); it != machines_.end()) refresh_machine(it->second);
  changed_machines_.clear();
  const auto cut_off = failure_detector_.unreachable_zones(machines_, now);
  for (auto& [id, m] : machines_)
    if (m.slot) snapshot_.machines[*m.slot].open = is_schedulable(m) && !cut_off.contains(m.zone);
  snapshot_.booting.clear();
  autoscaler_.for_each_expected([this](auto&, auto& booting, auto& type) {
    snapshot_.booting.push_back({snapshot_.types.id(booting.kind.type),
                                 snapshot_.zones.id(booting.kind.zone),
                                 booting.kind.spot,
                                 {type.cpus, type.gpus, type.memory_gb}});
  });
  if (deps_.quotas.divided())
    for (size_t t = 0; t < snapshot_.teams.size(); ++t)
      snapshot_.teams[t].limit = deps_.quotas.limit(settings_.teams[t]);
  snapshot_.now = loop_.wall();
  snapshot_.steady_now = now;
}

}  // namespace damsonport
