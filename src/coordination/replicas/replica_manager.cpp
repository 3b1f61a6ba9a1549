#include "coordination/replicas/replica_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport::replicas {

namespace {
// A report says what was so at the answer to the one before, so that is up to two periods old when
// the next one is due; each is up to a quarter longer.
constexpr double readiness_reports = 4;
constexpr double asked_after_reports = 2.6;
// A replica that was ready for so long has not failed.
constexpr double stable_leases = 1;
// How long a replica that waits for its repair has its turn.
constexpr double turn_reports = 2;
}  // namespace

double ReplicaManager::max_heartbeat_age_s() const {
  return readiness_reports * settings_.heartbeat_interval_s;
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
  while (it != replicas_.end() && it->first.first == job) {
    unready_.erase(it->first);
    it = replicas_.erase(it);
  }
}

Readiness ReplicaManager::readiness_of(const Job& job, TaskRange replica) const {
  std::vector<PartStatus> parts;
  for (auto& task : job.live_tasks(replica)) {
    PartStatus part{true, task.attempt, false, 0};
    const Machine* machine = facts_.find_machine(task.machine);
    const bool received = machine && machine->agent_epoch != 0 && !facts_.has_ended(task);
    if (received) {
      auto reported = machine->tasks.find(task.name);
      part.running = reported != machine->tasks.end() && reported->second.attempt == task.attempt &&
                     reported->second.state == TaskState::running;
      part.as_of = machine->tasks_as_of;
    }
    parts.push_back(part);
  }
  parts.resize(replica.count);
  return judge_readiness(parts, loop_.now(), max_heartbeat_age_s());
}

ReplicaStatus ReplicaManager::judge(const Job& job, uint32_t number) {
  const TaskRange replica = gang_range(job.spec, number);
  ReplicaStatus status{job.spec.id, number, ReplicaState::queued, {}, job.record_of(replica)};
  ReplicaStanding standing;
  standing.gang = gangs_.standing(job, replica);
  standing.last_attempt = status.record.last_attempt;
  // An attempt of which a part has ended is never ready again.
  const bool over = standing.gang.broken || standing.gang.stopping || job.cancelled;
  if (!over) status.readiness = readiness_of(job, replica);
  standing.ready = status.readiness.ready;
  if (standing.ready) gangs_.note_ran(job, replica, status.readiness.attempt);
  status.state = replica_state(standing);
  return status;
}

std::vector<ReplicaStatus> ReplicaManager::statuses() {
  std::vector<ReplicaStatus> out;
  for (auto& [key, history] : replicas_)
    if (const Job* job = cache_.job(key.first)) out.push_back(judge(*job, key.second));
  return out;
}

bool ReplicaManager::review() {
  bool any_waits = false;
  for (auto& [key, history] : replicas_) {
    const Job* job = cache_.job(key.first);
    if (job && update(*job, key.second, history)) any_waits = true;
  }
  return any_waits;
}

bool ReplicaManager::update(const Job& job, uint32_t number, History& history) {
  const Key key{job.spec.id, number};
  const ReplicaStatus status = judge(job, number);
  const RangeRecord& record = status.record;
  const double now = loop_.now();
  const bool next_attempt =
      record.last_attempt > std::exchange(history.attempt, record.last_attempt);
  auto& repair = history.repair;
  if (repair.not_ready > 0) {
    // Between two looks it may be gone and started anew.
    if ((record.live == 0 || next_attempt) && repair.gone == 0) repair.gone = now;
    if (record.live > 0 && repair.gone > 0 && repair.started == 0) repair.started = now;
  }
  if (history.state != status.state) note_state(key, history, status);
  if (status.state != ReplicaState::ready)
    return status.state == ReplicaState::repairing && record.live == 0;
  history.ready_as_of = status.readiness.as_of;
  if (now - history.ready_since > stable_leases * settings_.lease_s) history.failures = 0;
  return false;
}

void ReplicaManager::note_state(const Key& key, History& history, const ReplicaStatus& status) {
  const double now = loop_.now();
  const ReplicaState before = std::exchange(history.state, status.state);
  if (before == ReplicaState::ready) {
    history.repair = {};
    history.repair.last_ready_as_of = history.ready_as_of;
    history.repair.not_ready = now;
  }
  if (status.state == ReplicaState::stopping && history.repair.stopping == 0)
    history.repair.stopping = now;
  if (status.state == ReplicaState::ready) {
    log_ready(key, history, status.readiness);
    history.ready_since = now;
    history.moving = false;
    history.turn.offered = false;
    history.repair = {};
    unready_.erase(key);
    return;
  }
  unready_.insert(key);
  spdlog::info("replica {}:{} is {} (was {}), attempt {}", key.first, key.second,
               name_of(status.state), name_of(before), history.attempt);
}

void ReplicaManager::log_ready(const Key& key, const History& history,
                               const Readiness& readiness) const {
  const double now = loop_.now();
  const auto& repair = history.repair;
  spdlog::info("replica {}:{} is ready under attempt {}, as of {:.2f} s ago", key.first, key.second,
               readiness.attempt, now - readiness.as_of);
  if (repair.not_ready == 0 || repair.gone == 0) return;
  const double started = repair.started > 0 ? repair.started : now;
  spdlog::info(
      "replica {}:{} repaired in {:.2f} s: detection {:.2f}, stop and proof {:.2f}, placement "
      "{:.2f}, load {:.2f}",
      key.first, key.second, now - repair.last_ready_as_of,
      repair.not_ready - repair.last_ready_as_of, repair.gone - repair.not_ready,
      started - repair.gone, now - started);
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

bool ReplicaManager::on_leaving_machine(const Job& job, TaskRange replica) const {
  const auto parts = job.live_tasks(replica);
  return std::any_of(parts.begin(), parts.end(), [&](const PlacedTask& part) {
    const Machine* machine = facts_.find_machine(part.machine);
    return machine && (machine->draining || machine->preempted_at);
  });
}

std::vector<ReplicaManager::Replica> ReplicaManager::take_moves() {
  std::map<std::string, uint32_t> down;  // by class
  for (auto& [key, history] : replicas_)
    if (const Job* job = cache_.job(key.first); job && history.moving) ++down[job->spec.job_class];
  std::vector<Replica> moves;
  for (auto& [key, history] : replicas_) {
    const Job* job = cache_.job(key.first);
    if (!job || job->cancelled || history.state != ReplicaState::ready) continue;
    const TaskRange replica = gang_range(job->spec, key.second);
    if (!on_leaving_machine(*job, replica)) continue;
    uint32_t& of_class = down[job->spec.job_class];
    if (of_class >= settings_.replicas.policy(job->spec.job_class).moves) continue;
    ++of_class;
    history.moving = true;
    spdlog::info("replica {}:{} is moved off a machine that is going", key.first, key.second);
    moves.push_back({job, replica});
  }
  return moves;
}

std::set<std::string> ReplicaManager::machines_to_ask() const {
  const double before = loop_.now() - asked_after_reports * settings_.heartbeat_interval_s;
  std::set<std::string> out;
  for (auto& [key, history] : replicas_) {
    const Job* job = cache_.job(key.first);
    if (!job || job->cancelled) continue;
    for (auto& part : job->live_tasks(gang_range(job->spec, key.second))) {
      const Machine* machine = facts_.find_machine(part.machine);
      if (machine && machine->agent_epoch != 0 && machine->tasks_as_of < before)
        out.insert(part.machine);
    }
  }
  return out;
}

std::set<std::string> ReplicaManager::offer_repairs() {
  struct OfClass {
    const ReplicaPolicy* policy = nullptr;
    size_t under_repair = 0;
    std::vector<History*> waiting;
  };
  std::map<std::string, OfClass> classes;
  std::set<std::string> concerned;
  for (auto& key : unready_) {
    const Job* job = cache_.job(key.first);
    if (!job || job->cancelled) continue;
    History& history = replicas_.at(key);
    const RangeRecord record = job->record_of(gang_range(job->spec, key.second));
    if (record.last_attempt == 0) continue;
    OfClass& own = classes[job->spec.job_class];
    own.policy = &settings_.replicas.policy(job->spec.job_class);
    if (record.live == 0) {
      own.waiting.push_back(&history);
      concerned.insert(key.first);
    } else if (history.state == ReplicaState::repairing) {
      ++own.under_repair;
    }
  }
  const double now = loop_.now();
  const double turn_s = turn_reports * settings_.heartbeat_interval_s;
  for (auto& [job_class, own] : classes) {
    std::vector<RepairCandidate> candidates;
    for (const History* history : own.waiting) candidates.push_back(history->turn);
    const auto chosen =
        choose_repairs(candidates, own.under_repair, own.policy->repairs, now, turn_s);
    for (History* history : own.waiting) history->turn.offered = false;
    for (size_t place : chosen) {
      RepairCandidate& turn = own.waiting[place]->turn;
      const bool goes_on = candidates[place].offered && now - turn.offered_at < turn_s;
      turn.offered = true;
      if (!goes_on) turn.offered_at = now;
    }
  }
  return concerned;
}

bool ReplicaManager::may_start(const Job& job, TaskRange replica) const {
  const RangeRecord record = job.record_of(replica);
  if (record.last_attempt == 0 || record.live > 0) return true;
  auto it = replicas_.find({job.spec.id, gang_of(job.spec, replica.first)});
  return it != replicas_.end() && it->second.turn.offered;
}

}  // namespace damsonport::replicas
