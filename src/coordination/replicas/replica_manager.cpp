#include "coordination/replicas/replica_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport::replicas {

namespace {
/// Maximum age of a heartbeat that proves readiness, in heartbeat intervals. A heartbeat is dated
/// to the response to the heartbeat before it, so its state is up to two intervals old when the
/// next heartbeat is due; each interval may be up to a quarter longer.
constexpr double max_heartbeat_age_intervals = 4;
/// Age of the state of a machine's tasks, in heartbeat intervals, beyond which the machine is
/// probed.
constexpr double probe_age_intervals = 2.6;
/// Time for which a replica must have been ready before its failure count is reset, in worker
/// leases.
constexpr double failure_reset_leases = 1;
/// Duration of a turn of a replica that waits for repair, in heartbeat intervals.
constexpr double turn_intervals = 2;
}  // namespace

double ReplicaManager::readiness_max_age_s() const {
  return max_heartbeat_age_intervals * settings_.heartbeat_interval_s;
}

void ReplicaManager::clear() {
  replicas_.clear();
  unready_.clear();
}

void ReplicaManager::add_job(const Job& job) {
  if (!job.spec.replicated() || replicas_.contains({job.spec.id, 0})) return;
  const uint32_t count = gang_count(job.spec);
  for (uint32_t number = 0; number < count; ++number) {
    replicas_.try_emplace({job.spec.id, number});
    unready_.insert({job.spec.id, number});
  }
}

void ReplicaManager::forget_job(const std::string& job) {
  auto it = replicas_.lower_bound({job, 0});
  while (it != replicas_.end() && it->first.job == job) {
    unready_.erase(it->first);
    it = replicas_.erase(it);
  }
}

Readiness ReplicaManager::readiness_of(const Job& job, TaskRange replica) const {
  std::vector<PartStatus> parts;
  for (auto& task : job.live_tasks(replica)) {
    PartStatus part{true, task.attempt, false, 0};
    const Machine* machine = task_states_.find_machine(task.machine);
    const bool has_heartbeat =
        machine && machine->agent_epoch != 0 && !task_states_.has_ended(task);
    if (has_heartbeat) {
      auto reported = machine->tasks.find(task.id);
      part.running = reported != machine->tasks.end() && reported->second.attempt == task.attempt &&
                     reported->second.state == TaskState::running;
      part.as_of = machine->tasks_as_of;
    }
    parts.push_back(part);
  }
  parts.resize(replica.count);
  return judge_readiness(parts, loop_.now(), readiness_max_age_s());
}

ReplicaStatus ReplicaManager::status_of(const Job& job, uint32_t number) {
  const TaskRange replica = gang_range(job.spec, number);
  ReplicaStatus status{job.spec.id, number, ReplicaState::queued, {}, job.summarize(replica)};
  ReplicaObservation observation;
  observation.gang = gangs_.status(job, replica);
  observation.last_attempt = status.record.last_attempt;
  // An attempt is never ready again after one of its parts has ended.
  const bool over = observation.gang.broken || observation.gang.stopping || job.cancelled;
  if (!over) status.readiness = readiness_of(job, replica);
  observation.ready = status.readiness.ready;
  if (observation.ready) gangs_.note_running(job, replica, status.readiness.attempt);
  status.state = replica_state(observation);
  return status;
}

std::vector<ReplicaStatus> ReplicaManager::statuses() {
  std::vector<ReplicaStatus> out;
  for (auto& [replica_id, history] : replicas_)
    if (const Job* job = cache_.job(replica_id.job))
      out.push_back(status_of(*job, replica_id.number));
  return out;
}

bool ReplicaManager::update_states() {
  bool any_pending = false;
  for (auto& [replica_id, history] : replicas_) {
    const Job* job = cache_.job(replica_id.job);
    if (job && update_state(*job, replica_id.number, history)) any_pending = true;
  }
  return any_pending;
}

bool ReplicaManager::update_state(const Job& job, uint32_t number, History& history) {
  const ReplicaId replica_id{job.spec.id, number};
  const ReplicaStatus status = status_of(job, number);
  const TaskRangeSummary& record = status.record;
  const double now = loop_.now();
  const bool next_attempt =
      record.last_attempt > std::exchange(history.attempt, record.last_attempt);
  auto& repair = history.repair;
  if (repair.detected) {
    // The attempt may have ended, and the next one may have started, between two updates.
    if ((record.live == 0 || next_attempt) && !repair.terminated) repair.terminated = now;
    if (record.live > 0 && repair.terminated && !repair.placed) repair.placed = now;
  }
  if (history.state != status.state) note_state(replica_id, history, status);
  if (status.state != ReplicaState::ready)
    return status.state == ReplicaState::repairing && record.live == 0;
  history.ready_as_of = status.readiness.as_of;
  if (now - history.ready_since > failure_reset_leases * settings_.lease_s) history.failures = 0;
  return false;
}

void ReplicaManager::note_state(const ReplicaId& replica_id, History& history,
                                const ReplicaStatus& status) {
  const double now = loop_.now();
  const ReplicaState before = std::exchange(history.state, status.state);
  if (before == ReplicaState::ready) {
    history.repair = {};
    history.repair.last_ready_as_of = history.ready_as_of;
    history.repair.detected = now;
  }
  if (status.state == ReplicaState::ready) {
    log_ready(replica_id, history, status.readiness);
    history.ready_since = now;
    history.moving = false;
    history.turn.granted = false;
    history.repair = {};
    unready_.erase(replica_id);
    return;
  }
  unready_.insert(replica_id);
  spdlog::info("replica {}:{} is {} (was {}), attempt {}", replica_id.job, replica_id.number,
               name_of(status.state), name_of(before), history.attempt);
}

void ReplicaManager::log_ready(const ReplicaId& replica_id, const History& history,
                               const Readiness& readiness) const {
  const double now = loop_.now();
  const auto& repair = history.repair;
  spdlog::info("replica {}:{} is ready under attempt {}, as of {:.2f} s ago", replica_id.job,
               replica_id.number, readiness.attempt, now - readiness.as_of);
  if (!repair.detected || !repair.terminated) return;
  const double placed = repair.placed.value_or(now);
  spdlog::info(
      "replica {}:{} repaired in {:.2f} s: detection {:.2f}, termination {:.2f}, placement "
      "{:.2f}, load {:.2f}",
      replica_id.job, replica_id.number, now - repair.last_ready_as_of,
      *repair.detected - repair.last_ready_as_of, *repair.terminated - *repair.detected,
      placed - *repair.terminated, now - placed);
}

void ReplicaManager::note_exit(const Job& job, TaskRange replica, uint64_t attempt,
                               ExitCause cause) {
  auto it = replicas_.find({job.spec.id, gang_of(job.spec, replica.first)});
  if (it == replicas_.end() || cause != ExitCause::error) return;
  History& history = it->second;
  if (history.failed_attempt == attempt) return;
  history.failed_attempt = attempt;
  ++history.failures;
  const double pause_s = backoff_s(settings_.replicas.policy(job.spec.job_class), history.failures,
                                   settings_.lease_s, loop_.uniform(0, 1));
  history.turn.backoff_until = loop_.now() + pause_s;
}

bool ReplicaManager::on_draining_machine(const Job& job, TaskRange replica) const {
  const auto parts = job.live_tasks(replica);
  return std::any_of(parts.begin(), parts.end(), [&](const PlacedTask& part) {
    const Machine* machine = task_states_.find_machine(part.machine);
    return machine && (machine->draining || machine->preempted_at);
  });
}

std::vector<ReplicaManager::Replica> ReplicaManager::start_moves() {
  std::map<std::string, uint32_t> down;  // by class
  for (auto& [replica_id, history] : replicas_)
    if (const Job* job = cache_.job(replica_id.job); job && history.moving)
      ++down[job->spec.job_class];
  std::vector<Replica> moves;
  for (auto& [replica_id, history] : replicas_) {
    const Job* job = cache_.job(replica_id.job);
    if (!job || job->cancelled || history.state != ReplicaState::ready) continue;
    const TaskRange replica = gang_range(job->spec, replica_id.number);
    if (!on_draining_machine(*job, replica)) continue;
    uint32_t& of_class = down[job->spec.job_class];
    if (of_class >= settings_.replicas.policy(job->spec.job_class).moves) continue;
    ++of_class;
    history.moving = true;
    spdlog::info("replica {}:{} is moved off a draining machine", replica_id.job,
                 replica_id.number);
    moves.push_back({job, replica});
  }
  return moves;
}

std::set<std::string> ReplicaManager::machines_to_probe() const {
  const double before = loop_.now() - probe_age_intervals * settings_.heartbeat_interval_s;
  std::set<std::string> out;
  for (auto& [replica_id, history] : replicas_) {
    const Job* job = cache_.job(replica_id.job);
    if (!job || job->cancelled) continue;
    for (auto& part : job->live_tasks(gang_range(job->spec, replica_id.number))) {
      const Machine* machine = task_states_.find_machine(part.machine);
      if (machine && machine->agent_epoch != 0 && machine->tasks_as_of < before)
        out.insert(part.machine);
    }
  }
  return out;
}

std::set<std::string> ReplicaManager::grant_repair_turns() {
  std::set<std::string> jobs;
  std::map<std::string, ClassRepairs> classes;
  for (const auto& replica_id : unready_) {
    const Job* job = cache_.job(replica_id.job);
    if (!job || job->cancelled) continue;
    History& history = replicas_.at(replica_id);
    const TaskRangeSummary record = job->summarize(gang_range(job->spec, replica_id.number));
    // The first start of a replica is not a repair.
    if (record.last_attempt == 0) continue;
    ClassRepairs& repairs = classes[job->spec.job_class];
    repairs.policy = &settings_.replicas.policy(job->spec.job_class);
    if (record.live == 0) {
      repairs.pending.push_back(&history);
      jobs.insert(replica_id.job);
    } else if (history.state == ReplicaState::repairing) {
      ++repairs.under_repair;
    }
  }
  for (auto& [job_class, repairs] : classes) assign_turns(repairs);
  return jobs;
}

void ReplicaManager::assign_turns(const ClassRepairs& repairs) {
  const double now = loop_.now();
  const double turn_s = turn_intervals * settings_.heartbeat_interval_s;
  std::vector<RepairCandidate> candidates;
  for (const History* history : repairs.pending) candidates.push_back(history->turn);
  const auto chosen =
      choose_repairs(candidates, repairs.under_repair, repairs.policy->repairs, now, turn_s);
  for (History* history : repairs.pending) history->turn.granted = false;
  for (const size_t index : chosen) {
    RepairCandidate& turn = repairs.pending[index]->turn;
    turn.granted = true;
    // A turn in progress keeps its start time.
    if (!has_turn(candidates[index], now, turn_s)) turn.granted_at = now;
  }
}

bool ReplicaManager::may_start(const Job& job, TaskRange replica) const {
  const TaskRangeSummary record = job.summarize(replica);
  if (record.last_attempt == 0 || record.live > 0) return true;
  auto it = replicas_.find({job.spec.id, gang_of(job.spec, replica.first)});
  return it != replicas_.end() && it->second.turn.granted;
}

}  // namespace damsonport::replicas
