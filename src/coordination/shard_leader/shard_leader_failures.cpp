// What is concluded from missed heartbeats and from failed tasks.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

namespace {
constexpr uint64_t attempts_in_vain = 3;  // of one task, in the records: its job is suspected
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
    commands_.dispatch(m, {Command::Op::remove, task, exit.attempt, 0});
  switch (exit.cause) {
    case ExitCause::done: {
      task_failures_.note_success(task.job, m.id, seen.running_at);
      if (!seen.image_cached || seen.ordered_at == 0) break;
      // A gang's tasks all take the time of its slowest machine: their median says nothing of any.
      if (job->spec.kind == JobKind::gang) break;
      double run = std::max(now - seen.ordered_at, settings_.heartbeat_interval_s);
      if (stragglers_.note_success(task.job, run, m.straggler)) {
        spdlog::warn("{} is a straggler: its average is {:.2f} of its jobs' medians", m.id,
                     m.straggler.average);
        m.straggler_since = now;
      }
      break;
    }
    case ExitCause::error:
      note_error(m, job->spec);
      break;
    case ExitCause::insufficient_resources:
    case ExitCause::other_attempt_running:
    case ExitCause::not_found:
      spdlog::info("{} was refused by {}", task.text(), m.id);
      task_failures_.note_refusal(task.job, now);
      // Its place in the gang is filled elsewhere, under the attempt that this machine has refused.
      if (job->spec.gang_size() > 0) m.failed_jobs[task.job] = now;
      break;
    default:
      break;
  }
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
    mark_changed(id);
  }
  for (auto& id : review.faulty) {
    spdlog::warn("{} is drained: tasks of different jobs fail on it", id);
    Machine& m = machines_.at(id);
    m.faulty_since = loop_.now();
    drain(m, "faulty");
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
