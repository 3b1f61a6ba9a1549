// The holder's dealings with workers: their reports, and what is learned from them.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

namespace {
constexpr uint64_t attempts_in_vain = 3;  // of one task, in the records: its job is suspected
}  // namespace

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
  for (auto& [a, attempt] : cache_.assigned(m.id)) {
    TaskId name{a.job->spec.id, a.index};
    if (exits_.contains(name)) continue;  // proven gone, about to be committed
    DesiredTask e{name, attempt, is_cancelled(*a.job), {}};
    if (auto s = stopping_.find(name); s != stopping_.end() && s->second.attempt == attempt)
      e.stop = s->second.grace_s;
    out.push_back(std::move(e));
  }
  return out;
}

void ShardLeader::mark_changed(const std::string& machine) {
  changed_machines_.insert(machine);
  deduplicator_.forget(machine);
}

bool ShardLeader::may_deduplicate(const Machine& m, const Heartbeat& r,
                                  const ReconcileResult& outcome) const {
  // Notices grow shorter, and a gang's tasks are followed from report to report.
  const bool any_gang = std::any_of(m.tasks.begin(), m.tasks.end(), [&](auto& task) {
    const Job* job = cache_.job(task.first.job);
    return !job || job->spec.kind == JobKind::gang;
  });
  return outcome.agrees && r.tasks.size() == m.tasks.size() && !r.notice_s && !any_gang &&
         deps_.catalog.type(m.type);
}

bool ShardLeader::process_heartbeat(Machine& m, const Heartbeat& r, bool direct, double as_of,
                                    std::vector<Command>& commands) {
  const auto epoch_before = m.agent_epoch;
  // What ran until the last repetition of the report before this one used its images until then.
  const double repeated_at = std::exchange(m.last_repeat_at, 0);
  if (repeated_at > 0) note_images(m, repeated_at);
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
  auto todo = reconcile(m, desired_tasks_on(m), fencing_token_, records_current());
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
  if (fencing_token_ != 0) mark_changed(machine);
  if (!added) return;
  // How much a machine holds depends on its type, which is not known here: as much as any.
  double most = 0;
  for (auto& type : deps_.catalog.types()) most = std::max(most, type.cache_gb);
  images_seen_[machine].used(job.spec.image, job.spec.image_gb, loop_.now(), most);
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
    m.images.used(*image, seen->second.images().at(*image).second, at, type->cache_gb);
}

void ShardLeader::note_images(Machine& m, double at) {
  auto* type = deps_.catalog.type(m.type);
  if (!type) return;
  for (auto& [name, t] : m.tasks) {
    const bool had_it = t.state != TaskState::fetching &&
                        (t.state != TaskState::exited || t.cause == ExitCause::done);
    const Job* job = cache_.job(name.job);
    if (had_it && job) m.images.used(job->spec.image, job->spec.image_gb, at, type->cache_gb);
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
    if (ran && s.kind == JobKind::gang) gangs_.note_ran(*job, gang_range(s, 0), t.attempt);
    if (t.state == TaskState::running) note_running(m, name, t.attempt);
  }
  if (!m.tasks.empty()) m.idle_since = now;
}

// A replica that may have been ready is never ready again under an attempt that lost a part, so the
// part isn't started anew as any other task would be: the attempt is over.
void ShardLeader::note_absent_parts(const Machine& m) {
  if (!replicas_.any() || m.fencing_token < fencing_token_ || !records_current()) return;
  std::vector<std::pair<const Job*, TaskRange>> concerned;
  for (auto& [assignment, attempt] : cache_.assigned(m.id)) {
    const Job& job = *assignment.job;
    if (!job.spec.replicated()) continue;
    const TaskId name{job.spec.id, assignment.index};
    auto reported = m.tasks.find(name);
    const bool there = reported != m.tasks.end() && reported->second.attempt == attempt;
    if (there || m.has_outstanding_start({name, attempt}) || exits_.contains(name)) continue;
    const TaskRange replica = gang_with(job.spec, assignment.index);
    gangs_.note_absent(job, replica, attempt);
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
  } else if (now - running_at > settings_.heartbeat_interval_s && faults_.any()) {
    // What is at fault fails at its start.
    faults_.worked(task.job, m.id, running_at);
  }
}

// After the exit is in the records: what it teaches about the machine and the job.
void ShardLeader::finish_exit(const PendingExit& exit, const TaskId& task) {
  const double now = loop_.now();
  stopping_.erase(task);
  Attempt seen;
  if (auto a = attempts_.find(task); a != attempts_.end()) {
    if (auto i = a->second.find(exit.attempt); i != a->second.end()) seen = i->second;
    attempts_.erase(a);
  }
  Job* job = cache_.job(task.job);
  auto it = machines_.find(exit.machine);
  if (!job || it == machines_.end()) return;
  Machine& m = it->second;
  mark_changed(m.id);
  // The worker can drop it from its reports now; a later report repeats this if it is lost.
  if (auto t = m.tasks.find(task); t != m.tasks.end() && t->second.attempt == exit.attempt &&
                                   t->second.state == TaskState::exited &&
                                   !m.has_outstanding_start({task, exit.attempt}))
    dispatch(m, {Command::Op::remove, task, exit.attempt, 0});
  auto& hints = hints_[task.job];
  switch (exit.cause) {
    case ExitCause::done: {
      faults_.worked(task.job, m.id, seen.running_at);
      if (!seen.image_cached || seen.ordered_at == 0) break;
      // A gang's tasks all take the time of its slowest machine: their median says nothing of any.
      if (job->spec.kind == JobKind::gang) break;
      double run = std::max(now - seen.ordered_at, settings_.heartbeat_interval_s);
      auto fraction = hints.run_times.add(run, tuning_.straggler_min_successes);
      if (fraction && fold(m.straggler, *fraction, tuning_)) {
        spdlog::warn("{} is a straggler: its average is {:.2f} of its jobs' medians", m.id,
                     m.straggler.average);
        m.straggler_since = now;
      }
      break;
    }
    case ExitCause::error:
      note_error(m, job->spec);
      break;
    case ExitCause::no_room:
    case ExitCause::busy:
    case ExitCause::unknown:
      spdlog::info("{} was refused by {}", task.text(), m.id);
      hints.backoff_until = now + settings_.heartbeat_interval_s / 2;
      // Its place in the gang is filled elsewhere, under the attempt that this machine has refused.
      if (job->spec.gang_size() > 0) m.failed_jobs[task.job] = now;
      break;
    default:
      break;
  }
}

void ShardLeader::note_error(Machine& m, const JobSpec& spec) {
  auto& hints = hints_[spec.id];
  ++hints.errors;
  faults_.failed(spec.id, m.id, loop_.now());
  const bool is_job_faulty = faults_.is_job_faulty(spec.id);
  spdlog::info("a task of {} failed on {}{}", spec.id, m.id,
               is_job_faulty ? "; it fails everywhere" : "");
  if (!is_job_faulty) {
    m.failed_jobs[spec.id] = loop_.now();
    return;
  }
  constexpr int most_doublings = 6;
  constexpr double longest_backoff_leases = 2;
  const double backoff_s =
      settings_.heartbeat_interval_s * (1 << std::min(hints.errors, most_doublings));
  hints.backoff_until =
      loop_.now() + std::min(backoff_s, settings_.lease_s * longest_backoff_leases);
}

void ShardLeader::review_faults() {
  constexpr double most_drained_share = 0.25, remembered_leases = 5;
  faults_.forget_failures_before(loop_.now() - settings_.lease_s * remembered_leases);
  size_t drained = 0;
  for (auto& [id, m] : machines_) {
    if (m.faulty_since > 0 && !scale_in_.tracker().is_requested(id) &&
        !faults_.is_machine_faulty(id)) {
      spdlog::info("{} takes tasks again: the jobs that failed on it are at fault", id);
      m.draining = false;
      m.faulty_since = 0;
      mark_changed(id);
    }
    drained += m.faulty_since > 0;
  }
  const auto most = static_cast<size_t>(
      std::max(1.0, most_drained_share * static_cast<double>(machines_.size())));
  for (auto& [id, m] : machines_) {
    if (drained >= most) return;
    if (m.draining || !faults_.is_machine_faulty(id)) continue;
    spdlog::warn("{} fails the tasks of different jobs: it takes no more", id);
    m.faulty_since = loop_.now();
    drain(m, "sick");
    ++drained;
  }
}

bool ShardLeader::failed_before(const Job& job) {
  if (job.live > 0 || job.done > 0) return false;
  // Their attempts grow with every machine that is lost.
  if (job.spec.replicated()) return false;
  return std::any_of(job.chunks.begin(), job.chunks.end(), [](auto& chunk) {
    return chunk.second.record.last_attempt() >= attempts_in_vain;
  });
}

}  // namespace damsonport
