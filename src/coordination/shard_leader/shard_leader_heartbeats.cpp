// The shard leader's processing of heartbeats, and what follows from them about machines and tasks.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

Machine& ShardLeader::machine(const std::string& id) {
  auto [it, fresh] = machines_.try_emplace(id);
  if (fresh) {
    it->second.id = id;
    it->second.last_heartbeat_at = loop_.now();
    it->second.idle_since = loop_.now();
    mark_machine_changed(id);
  }
  return it->second;
}

double ShardLeader::stop_grace_s(const JobSpec& spec) const {
  return spec.checkpoint_s > 0 ? spec.save_s * 1.2 + settings_.heartbeat_interval_s / 10 : 0;
}

bool ShardLeader::is_schedulable(const Machine& m) const {
  return m.agent_epoch != 0 && !m.draining && !m.preempted_at && !scale_in_.is_leaving(m.id) &&
         !scale_in_.tracker().is_returned(m.id) && m.answers_requests() &&
         m.kept_exits < Machine::max_kept_exits && !failure_detector_.is_suspected(m, loop_.now());
}

std::vector<DesiredTask> ShardLeader::desired_tasks_on(const Machine& m) const {
  std::vector<DesiredTask> out;
  for (auto& [assignment, attempt] : cache_.assignments_on(m.id)) {
    TaskId name{assignment.job->spec.id, assignment.index};
    if (exits_.contains(name)) continue;  // proven to have ended
    DesiredTask desired{name, attempt, is_cancelled(*assignment.job), {}};
    if (auto s = stop_requests_.find(name);
        s != stop_requests_.end() && s->second.attempt == attempt)
      desired.stop = s->second.grace_s;
    out.push_back(std::move(desired));
  }
  return out;
}

void ShardLeader::forget_machine(const std::string& id) {
  task_failures_.forget_machine(id);
  deduplicator_.forget(id);
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  snapshot_builder_.forget_machine(it->second);
  machines_.erase(it);
}

void ShardLeader::mark_machine_changed(const std::string& machine) {
  snapshot_builder_.mark_machine_changed(machine);
  deduplicator_.forget(machine);
}

bool ShardLeader::may_deduplicate(const Machine& m, const Heartbeat& heartbeat,
                                  const ReconcileResult& outcome) const {
  // The time left in a preemption notice shrinks, and each heartbeat updates the observations of a
  // gang, so neither kind of heartbeat may be skipped.
  const bool any_gang = std::any_of(m.tasks.begin(), m.tasks.end(), [&](auto& task) {
    if (task.second.state == TaskState::exited) return false;
    const Job* job = cache_.job(task.first.job);
    return !job || job->spec.kind == JobKind::gang;
  });
  return outcome.in_sync && heartbeat.tasks.size() == m.tasks.size() && !heartbeat.notice_s &&
         !any_gang && deps_.catalog.type(m.type);
}

bool ShardLeader::process_heartbeat(Machine& m, const Heartbeat& heartbeat, bool direct,
                                    double as_of, std::vector<Command>& commands) {
  const double now = loop_.now();
  const auto epoch_before = m.agent_epoch;
  // A machine that has missed heartbeats may report what happened long ago.
  const bool missed_heartbeats = failure_detector_.is_suspected(m, now);
  // The tasks of the previous heartbeat used their images until its last repetition.
  const double last_repeated_heartbeat_at = std::exchange(m.last_repeated_heartbeat_at, 0);
  if (last_repeated_heartbeat_at > 0) note_image_uses(m, last_repeated_heartbeat_at);
  if (!apply_heartbeat(m, heartbeat, now, direct, as_of)) return false;
  mark_machine_changed(m.id);
  scale_in_.note_heartbeat(m.id);
  autoscaler_.note_heartbeat(m.id);
  if (epoch_before != 0 && epoch_before != m.agent_epoch) {
    spdlog::info("{} restarted its agent, epoch {}: tasks of earlier epochs have ended", m.id,
                 m.agent_epoch);
    forget_observed_times(m);
  }
  if (epoch_before == 0) {
    scheduling_requested_ = true;
    restore_image_cache(m);
  }
  note_task_states(m);
  note_missing_parts(m);
  auto reconciliation =
      reconcile(m, desired_tasks_on(m), lease_.tokens(), lease_.records_current());
  note_kept_exits(m, reconciliation.kept_exits);
  log_strays(m, reconciliation.commands);
  for (auto& e : reconciliation.exits) {
    if (exits_.contains(e.task)) continue;
    spdlog::debug("{} attempt {} ended on {}: cause {}", e.task.text(), e.attempt, m.id,
                  static_cast<int>(e.cause));
    const auto ended_at = missed_heartbeats ? std::nullopt : std::optional(now);
    note_exit(e.task, {e.attempt, e.cause, m.id, ended_at});
    deps_.changed.notify();
  }
  // No command is sent for an attempt whose exit waits to be committed: the worker must not forget
  // the exit yet, and the start must not be repeated.
  std::erase_if(reconciliation.commands, [&](const Command& c) {
    auto it = exits_.find(c.task);
    return it != exits_.end() && it->second.attempt == c.attempt;
  });
  const bool repeatable = may_deduplicate(m, heartbeat, reconciliation);
  commands = std::move(reconciliation.commands);
  return repeatable;
}

void ShardLeader::log_strays(const Machine& m, const std::vector<Command>& commands) const {
  size_t strays = 0;
  const Command* first = nullptr;
  for (auto& command : commands) {
    if (command.op != Command::Op::stop ||
        cache_.has_assignment(command.task, command.attempt, m.id))
      continue;
    if (++strays == 1) first = &command;
  }
  if (first)
    spdlog::info(
        "{} runs {} attempt {} ({} such attempts), which the records don't place there: stopping",
        m.id, first->task.text(), first->attempt, strays);
}

void ShardLeader::note_kept_exits(Machine& m, size_t kept_exits) {
  const bool was_full = m.kept_exits >= Machine::max_kept_exits;
  m.kept_exits = kept_exits;
  if (was_full && kept_exits < Machine::max_kept_exits) scheduling_requested_ = true;
  if (kept_exits == 0) return;
  using Urgency = ShardLeaseKeeper::TokenUrgency;
  const bool is_urgent = kept_exits >= Machine::max_kept_exits / 2;
  lease_.request_higher_token(is_urgent ? Urgency::at_once : Urgency::with_next_renewal);
}

void ShardLeader::assignment_changed(const std::string& machine, const Job& job, bool added) {
  if (lease_.fencing_token() != 0) mark_machine_changed(machine);
  if (!added) return;
  // The size of the image cache depends on the machine's type, which is not known here, so the
  // largest size of any type is assumed.
  double most = 0;
  for (auto& type : deps_.catalog.types()) most = std::max(most, type.cache_gb);
  images_seen_[machine].note_use(job.spec.image, job.spec.image_gb, loop_.now(), most);
}

// The attempts are started again in the machine's new epoch.
void ShardLeader::forget_observed_times(const Machine& m) {
  for (auto& [assignment, attempt] : cache_.assignments_on(m.id)) {
    auto attempts = attempts_.find({assignment.job->spec.id, assignment.index});
    if (attempts == attempts_.end()) continue;
    if (auto it = attempts->second.find(attempt); it != attempts->second.end()) it->second = {};
  }
}

// Called at a machine's first heartbeat to a new shard leader. Otherwise every start after a
// failover would seem to need a fetch, except for images of tasks that were running.
void ShardLeader::restore_image_cache(Machine& m) {
  auto* type = deps_.catalog.type(m.type);
  auto seen = images_seen_.find(m.id);
  if (!type || seen == images_seen_.end()) return;
  // In the order in which the machine used the images, so that the most recently used ones are
  // kept.
  std::vector<std::pair<double, const std::string*>> images_by_last_use;
  for (auto& [image, use] : seen->second.images())
    images_by_last_use.emplace_back(use.first, &image);
  std::sort(images_by_last_use.begin(), images_by_last_use.end());
  for (auto& [at, image] : images_by_last_use)
    m.images.note_use(*image, seen->second.images().at(*image).second, at, type->cache_gb);
}

void ShardLeader::note_image_uses(Machine& m, double at) {
  auto* type = deps_.catalog.type(m.type);
  if (!type) return;
  for (auto& [name, t] : m.tasks) {
    const bool has_image = t.state != TaskState::fetching &&
                           (t.state != TaskState::exited || t.cause == ExitCause::done);
    const Job* job = cache_.job(name.job);
    if (has_image && job)
      m.images.note_use(job->spec.image, job->spec.image_gb, at, type->cache_gb);
  }
}

void ShardLeader::note_task_states(Machine& m) {
  const double now = loop_.now();
  note_image_uses(m, now);
  auto fetching = std::move(m.fetching);
  m.fetching.clear();
  for (auto& [name, t] : m.tasks) {
    Job* job = cache_.job(name.job);
    if (!job) continue;
    auto& spec = job->spec;
    if (t.state == TaskState::fetching) {
      auto previous = fetching.find(spec.image);
      m.fetching[spec.image] = previous == fetching.end() ? now : previous->second;
      continue;
    }
    if (t.state == TaskState::exited && spec.gang_size() > 0)
      gangs_.note_ended_on(*job, gang_containing(spec, name.index), t.attempt, m.id);
    const bool ran = t.state == TaskState::running || t.state == TaskState::saving;
    if (ran && spec.kind == JobKind::gang)
      gangs_.note_running(*job, gang_range(spec, 0), t.attempt);
    if (t.state == TaskState::running) note_running(m, name, t.attempt);
  }
  if (m.has_live_tasks()) m.idle_since = now;
}

// Other tasks that a machine doesn't report are started again. A part of a replica is not: a
// replica that may have been ready never becomes ready again under an attempt that has lost a part,
// so the attempt is over.
void ShardLeader::note_missing_parts(const Machine& m) {
  if (!replicas_.has_replicas() || m.fencing_token < lease_.fencing_token() ||
      !lease_.records_current())
    return;
  std::vector<std::pair<const Job*, TaskRange>> affected_replicas;
  for (auto& [assignment, attempt] : cache_.assignments_on(m.id)) {
    const Job& job = *assignment.job;
    if (!job.spec.replicated()) continue;
    const TaskId name{job.spec.id, assignment.index};
    auto reported = m.tasks.find(name);
    const bool is_reported = reported != m.tasks.end() && reported->second.attempt == attempt;
    if (is_reported || m.has_outstanding_start({name, attempt}) || exits_.contains(name)) continue;
    const TaskRange replica = gang_containing(job.spec, assignment.index);
    gangs_.note_task_missing(job, replica, attempt);
    affected_replicas.emplace_back(&job, replica);
  }
  for (auto& [job, replica] : affected_replicas) review_gang(*job, replica);
}

void ShardLeader::note_running(Machine& m, const TaskId& task, uint64_t attempt) {
  const double now = loop_.now();
  auto attempts = attempts_.find(task);
  if (attempts == attempts_.end()) return;
  auto it = attempts->second.find(attempt);
  if (it == attempts->second.end()) return;
  double& running_at = it->second.running_at;
  if (running_at == 0) {
    running_at = now;
    spdlog::debug("{} attempt {} runs on {}", task.text(), attempt, m.id);
  } else if (now - running_at > settings_.heartbeat_interval_s &&
             task_failures_.attribution().has_failures()) {
    // Faulty jobs and machines fail at the start of a task, so a task that has run for longer
    // counts as a success.
    task_failures_.note_success(task.job, m.id, running_at);
  }
}

}  // namespace damsonport
