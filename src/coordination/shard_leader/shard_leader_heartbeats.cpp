// Heartbeats of the machines: what they change here, and what is learned from them.
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
    mark_changed(id);
  }
  return it->second;
}

double ShardLeader::stop_grace(const JobSpec& s) const {
  return s.checkpoint_s > 0 ? s.save_s * 1.2 + settings_.heartbeat_interval_s / 10 : 0;
}

bool ShardLeader::is_schedulable(const Machine& m) const {
  return m.agent_epoch != 0 && !m.draining && !m.preempted_at && !scale_in_.is_leaving(m.id) &&
         !scale_in_.tracker().is_returned(m.id) && m.failed_sends < 2 &&
         !failure_detector_.is_suspected(m, loop_.now());
}

std::vector<DesiredTask> ShardLeader::desired_tasks_on(const Machine& m) const {
  std::vector<DesiredTask> out;
  for (auto& [a, attempt] : cache_.assignments_on(m.id)) {
    TaskId name{a.job->spec.id, a.index};
    if (exits_.contains(name)) continue;  // proven gone, about to be committed
    DesiredTask e{name, attempt, is_cancelled(*a.job), {}};
    if (auto s = stopping_.find(name); s != stopping_.end() && s->second.attempt == attempt)
      e.stop = s->second.grace_s;
    out.push_back(std::move(e));
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

void ShardLeader::mark_changed(const std::string& machine) {
  snapshot_builder_.mark_machine_changed(machine);
  deduplicator_.forget(machine);
}

bool ShardLeader::may_deduplicate(const Machine& m, const Heartbeat& r,
                                  const ReconcileResult& outcome) const {
  // Notices grow shorter, and a gang's tasks are followed from report to report.
  const bool any_gang = std::any_of(m.tasks.begin(), m.tasks.end(), [&](auto& task) {
    const Job* job = cache_.job(task.first.job);
    return !job || job->spec.kind == JobKind::gang;
  });
  return outcome.in_sync && r.tasks.size() == m.tasks.size() && !r.notice_s && !any_gang &&
         deps_.catalog.type(m.type);
}

bool ShardLeader::process_heartbeat(Machine& m, const Heartbeat& r, bool direct, double as_of,
                                    std::vector<Command>& commands) {
  const auto epoch_before = m.agent_epoch;
  // What ran until the last repetition of the report before this one used its images until then.
  const double last_repeated_heartbeat_at = std::exchange(m.last_repeated_heartbeat_at, 0);
  if (last_repeated_heartbeat_at > 0) note_images(m, last_repeated_heartbeat_at);
  if (!apply_heartbeat(m, r, loop_.now(), direct, as_of)) return false;
  mark_changed(m.id);
  scale_in_.note_heartbeat(m.id);
  autoscaler_.note_heartbeat(m.id);
  if (epoch_before != 0 && epoch_before != m.agent_epoch)
    spdlog::info("{} began session {}: what ran there is gone", m.id, m.agent_epoch);
  if (epoch_before == 0) {
    scheduling_requested_ = true;
    recall_images(m);
  }
  note_states(m);
  note_absent_parts(m);
  auto todo = reconcile(m, desired_tasks_on(m), lease_.fencing_token(), lease_.records_current());
  for (auto& e : todo.exits) {
    if (exits_.contains(e.task)) continue;
    spdlog::debug("{} attempt {} ended on {}: cause {}", e.task.text(), e.attempt, m.id,
                  static_cast<int>(e.cause));
    note_exit(e.task, {e.attempt, e.cause, m.id});
    deps_.changed.notify();
  }
  // An exit that waits for its commit is not forgotten yet, and its start not repeated.
  std::erase_if(todo.commands, [&](const Command& c) {
    auto it = exits_.find(c.task);
    return it != exits_.end() && it->second.attempt == c.attempt;
  });
  const bool repeatable = may_deduplicate(m, r, todo);
  commands = std::move(todo.commands);
  return repeatable;
}

void ShardLeader::assignment_changed(const std::string& machine, const Job& job, bool added) {
  if (lease_.fencing_token() != 0) mark_changed(machine);
  if (!added) return;
  // How much a machine holds depends on its type, which is not known here: as much as any.
  double most = 0;
  for (auto& type : deps_.catalog.types()) most = std::max(most, type.cache_gb);
  images_seen_[machine].note_use(job.spec.image, job.spec.image_gb, loop_.now(), most);
}

// At a machine's first report to a new holder. Without it every start after a takeover seemed to
// need a fetch, except of the images running just then.
void ShardLeader::recall_images(Machine& m) {
  auto* type = deps_.catalog.type(m.type);
  auto seen = images_seen_.find(m.id);
  if (!type || seen == images_seen_.end()) return;
  // From the oldest to the newest, as the machine used them: so the newest stay.
  std::vector<std::pair<double, const std::string*>> dispatch;
  for (auto& [image, use] : seen->second.images()) dispatch.emplace_back(use.first, &image);
  std::sort(dispatch.begin(), dispatch.end());
  for (auto& [at, image] : dispatch)
    m.images.note_use(*image, seen->second.images().at(*image).second, at, type->cache_gb);
}

void ShardLeader::note_images(Machine& m, double at) {
  auto* type = deps_.catalog.type(m.type);
  if (!type) return;
  for (auto& [name, t] : m.tasks) {
    const bool had_it = t.state != TaskState::fetching &&
                        (t.state != TaskState::exited || t.cause == ExitCause::done);
    const Job* job = cache_.job(name.job);
    if (had_it && job) m.images.note_use(job->spec.image, job->spec.image_gb, at, type->cache_gb);
  }
}

// Which images the machine holds and fetches, and since when tasks run.
void ShardLeader::note_states(Machine& m) {
  const double now = loop_.now();
  note_images(m, now);
  auto fetching = std::move(m.fetching);
  m.fetching.clear();
  for (auto& [name, t] : m.tasks) {
    Job* job = cache_.job(name.job);
    if (!job) continue;
    auto& s = job->spec;
    if (t.state == TaskState::fetching) {
      auto was = fetching.find(s.image);
      m.fetching[s.image] = was == fetching.end() ? now : was->second;
      continue;
    }
    const bool ran = t.state == TaskState::running || t.state == TaskState::saving;
    if (ran && s.kind == JobKind::gang) gangs_.note_running(*job, gang_range(s, 0), t.attempt);
    if (t.state == TaskState::running) note_running(m, name, t.attempt);
  }
  if (!m.tasks.empty()) m.idle_since = now;
}

// A replica that may have been ready is never ready again under an attempt that lost a part, so the
// part isn't started anew as any other task would be: the attempt is over.
void ShardLeader::note_absent_parts(const Machine& m) {
  if (!replicas_.has_replicas() || m.fencing_token < lease_.fencing_token() ||
      !lease_.records_current())
    return;
  std::vector<std::pair<const Job*, TaskRange>> concerned;
  for (auto& [assignment, attempt] : cache_.assignments_on(m.id)) {
    const Job& job = *assignment.job;
    if (!job.spec.replicated()) continue;
    const TaskId name{job.spec.id, assignment.index};
    auto reported = m.tasks.find(name);
    const bool there = reported != m.tasks.end() && reported->second.attempt == attempt;
    if (there || m.has_outstanding_start({name, attempt}) || exits_.contains(name)) continue;
    const TaskRange replica = gang_containing(job.spec, assignment.index);
    gangs_.note_task_missing(job, replica, attempt);
    concerned.emplace_back(&job, replica);
  }
  for (auto& [job, replica] : concerned) review_gang(*job, replica);
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
    // What is at fault fails at its start.
    task_failures_.note_success(task.job, m.id, running_at);
  }
}

}  // namespace damsonport
