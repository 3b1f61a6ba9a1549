// The shard leader's conclusions from missed heartbeats and failed tasks.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

namespace {
// A job is suspected to be faulty if its records show so many attempts of one task without success.
constexpr uint64_t min_unsuccessful_attempts = 3;
}  // namespace

void ShardLeader::detect_dead_machines() {
  FailureDetector::FleetFacts facts;
  facts.has_tombstone = [this](auto& id) { return cache_.has_tombstone(id); };
  facts.is_leaving = [this](auto& id) { return scale_in_.is_leaving(id); };
  facts.has_assignments = [this](auto& id) { return !cache_.assignments_on(id).empty(); };
  facts.unreachable_peers = deps_.peer_network.unreachable_peers();
  for (auto& machine : failure_detector_.detect(machines_, facts, loop_.now())) {
    scheduling_requested_ = true;
    commands_.start_probe(machine.id);
    if (!machine.is_dead) continue;
    scale_in_.request(
        machine.id,
        "silent for " + std::to_string(static_cast<int>(machine.heartbeat_age_s)) + " s",
        ScaleInCause::declared_dead);
  }
}

// Such a machine gets no tasks, and so may get no commands either whose response would show that it
// can be reached again. Those that were probed the longest time ago come first, since the number of
// probes at a time is limited.
void ShardLeader::review_unanswering_machines() {
  const double now = loop_.now();
  std::vector<Machine*> unanswering;
  for (auto& [id, m] : machines_)
    if (!m.answers_requests() && !scale_in_.is_leaving(id) &&
        !failure_detector_.is_suspected(m, now))
      unanswering.push_back(&m);
  std::stable_sort(unanswering.begin(), unanswering.end(), [](auto* one, auto* other) {
    return one->unanswered_probe_sent_at < other->unanswered_probe_sent_at;
  });
  for (Machine* m : unanswering) {
    if (m->receives_responses(settings_.lease_s, settings_.heartbeat_interval_s)) {
      commands_.note_reachable(*m);
    } else {
      commands_.start_probe(m->id);
    }
  }
}

ShardLeader::Attempt ShardLeader::take_attempt(const TaskId& task, uint64_t attempt) {
  auto attempts = attempts_.find(task);
  if (attempts == attempts_.end()) return {};
  auto it = attempts->second.find(attempt);
  const Attempt seen = it == attempts->second.end() ? Attempt{} : it->second;
  attempts_.erase(attempts);
  return seen;
}

// Called after the exit was committed: updates what is known of the machine and the job.
void ShardLeader::process_committed_exit(const PendingExit& exit, const TaskId& task) {
  stop_requests_.erase(task);
  const Attempt seen = take_attempt(task, exit.attempt);
  const Job* job = cache_.job(task.job);
  auto it = machines_.find(exit.machine);
  if (!job || it == machines_.end()) return;
  Machine& m = it->second;
  mark_machine_changed(m.id);
  // The worker may remove the task from its heartbeats now. If the command is lost, the next
  // heartbeat with the task causes another one.
  if (auto t = m.tasks.find(task); t != m.tasks.end() && t->second.attempt == exit.attempt &&
                                   t->second.state == TaskState::exited &&
                                   m.may_remove({task, exit.attempt}, lease_.tokens().newest))
    commands_.dispatch(m, {Command::Op::remove, task, exit.attempt, 0});
  process_cause(m, *job, task, exit, seen);
}

void ShardLeader::process_cause(Machine& m, const Job& job, const TaskId& task,
                                const PendingExit& exit, const Attempt& seen) {
  const double now = loop_.now();
  switch (exit.cause) {
    case ExitCause::done:
      note_done(m, job, exit, seen);
      break;
    case ExitCause::error:
      note_error(m, job.spec);
      break;
    case ExitCause::insufficient_resources:
    case ExitCause::other_attempt_running:
    case ExitCause::not_found:
      spdlog::info("{} was refused by {}", task.text(), m.id);
      task_failures_.note_refusal(job.spec.id, now);
      // The task is started on another machine under the same attempt, which this machine has
      // refused.
      if (job.spec.gang_size() > 0) m.failed_jobs[job.spec.id] = now;
      break;
    default:
      break;
  }
}

void ShardLeader::note_done(Machine& m, const Job& job, const PendingExit& exit,
                            const Attempt& seen) {
  task_failures_.note_success(job.spec.id, m.id, seen.running_at);
  if (!seen.image_cached || seen.start_committed_at == 0 || !exit.ended_at) return;
  // All tasks of a gang take as long as the one on the slowest machine, so their run_s times
  // say nothing about single machines.
  if (job.spec.kind == JobKind::gang) return;
  const double run_s =
      std::max(*exit.ended_at - seen.start_committed_at, settings_.heartbeat_interval_s);
  if (!stragglers_.note_success(job.spec.id, run_s, m.straggler)) return;
  spdlog::warn("{} is a straggler: its average is {:.2f} of its jobs' medians", m.id,
               m.straggler.average);
  m.straggler_since = loop_.now();
}

void ShardLeader::note_error(Machine& m, const JobSpec& spec) {
  const bool is_job_faulty = task_failures_.note_error(spec.id, m.id, loop_.now());
  spdlog::info("a task of {} failed on {}{}", spec.id, m.id,
               is_job_faulty ? "; it fails on all machines" : "");
  if (!is_job_faulty) m.failed_jobs[spec.id] = loop_.now();
}

void ShardLeader::review_faults() {
  const auto is_requested = [this](auto& id) { return scale_in_.tracker().is_requested(id); };
  const auto review = task_failures_.review(machines_, is_requested, loop_.now());
  for (auto& id : review.recovered) {
    spdlog::info("{} is schedulable again: the jobs that failed on it are at fault", id);
    Machine& m = machines_.at(id);
    m.draining = false;
    m.faulty_since = 0;
    mark_machine_changed(id);
  }
  for (auto& id : review.faulty) {
    spdlog::warn("{} is drained: tasks of different jobs fail on it", id);
    Machine& m = machines_.at(id);
    m.faulty_since = loop_.now();
    drain(m, "faulty");
  }
}

bool ShardLeader::failed_under_earlier_leases(const Job& job) {
  if (job.live > 0 || job.done > 0) return false;
  // The attempts of a replicated job grow with every machine that is lost.
  if (job.spec.replicated()) return false;
  return std::any_of(job.chunks.begin(), job.chunks.end(), [](auto& chunk) {
    return chunk.second.record.last_attempt() >= min_unsuccessful_attempts;
  });
}

}  // namespace damsonport
