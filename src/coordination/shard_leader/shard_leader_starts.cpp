// The shard leader's scheduling cycles and the commits of the starts that they decide. Each commit
// is conditional on the shard table, on the job and on the records that it changes.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

namespace {
// Share of a heartbeat interval for which the starts of one scheduling cycle may be committed.
constexpr double start_commit_share = 0.05;
}  // namespace

void ShardLeader::refresh_snapshot() {
  for (auto& id : replicas_.grant_repair_turns())
    if (Job* job = cache_.job(id)) snapshot_builder_.mark_job_changed(*job);
  std::vector<SnapshotBuilder::BootingMachine> booting_machines;
  autoscaler_.for_each_expected_machine([&](auto&, auto& booting, auto& type) {
    const scheduling::Resources total{type.cpus, type.gpus, type.memory_gb};
    booting_machines.push_back({booting.kind.type, booting.kind.zone, booting.kind.spot, total});
  });
  snapshot_builder_.refresh(machines_, failure_detector_.unreachable_zones(machines_, loop_.now()),
                            booting_machines);
}

Task<ShardLeader::StepResult> ShardLeader::commit_starts(std::stop_token stop_token) {
  const double now = loop_.now();
  if (!lease_.records_current() || !deps_.catalog.loaded() || !scheduling_requested_ ||
      now < next_cycle_at_)
    co_return StepResult::idle;
  jobs_with_uncommitted_starts_ = 0;
  // One scheduling cycle handles all events since the last one. Cycles are spaced, so that a burst
  // of events shares one.
  next_cycle_at_ = now + std::min(0.05, settings_.heartbeat_interval_s / 30);
  scheduling_requested_ = false;

  refresh_snapshot();
  const auto decided = scheduling::schedule(snapshot_builder_.snapshot());
  note_unschedulable(decided);
  dispatch_preemptions(decided);
  // The first scheduling cycle of a new shard leader with a large fleet takes long. Half of the
  // time is left for heartbeats and users' requests.
  last_cycle_s_ = loop_.now() - now;
  next_cycle_at_ = std::max(next_cycle_at_, now + 2 * last_cycle_s_);

  // Decisions refer to jobs and machines by id from here on, since indexes into the snapshot are
  // reused while the commits are under way.
  std::vector<DecidedStart> singles;
  for (auto& start : decided.placements)
    singles.push_back(snapshot_builder_.resolve_start(start.job, start.machine));
  std::vector<DecidedGang> gangs;
  for (auto& gang : decided.gang_placements) gangs.push_back(snapshot_builder_.resolve_gang(gang));
  const StepResult gang_result = co_await commit_gang_starts(std::move(gangs), stop_token);
  const StepResult single_result = co_await commit_single_starts(std::move(singles), stop_token);
  co_return combine(gang_result, single_result);
}

void ShardLeader::note_unschedulable(const scheduling::Decisions& decided) {
  unschedulable_.clear();
  pending_tasks_ = 0;
  for (auto& u : decided.unschedulable) {
    pending_tasks_ += u.count;
    if (u.capacity_pending) continue;
    auto& s = snapshot_builder_.job_at(u.job).spec;
    autoscaling::ResourceDemand demand{resources_per_task(s), u.missing, s.types, s.zone, s.spot};
    if (s.gang_size() > 0) {
      demand.gang = true;
      demand.one_zone = u.one_zone;
      demand.distinct_machines = s.distinct_machines;
      if (auto zone = snapshot_builder_.zone_name(u.zone); !zone.empty()) demand.zone = zone;
      spdlog::debug("no room for {} of {} tasks of a gang of {}{}", u.missing, u.count, s.id,
                    demand.zone.empty() ? "" : " in " + demand.zone);
    }
    unschedulable_.push_back(std::move(demand));
  }
}

void ShardLeader::dispatch_preemptions(const scheduling::Decisions& decided) {
  for (auto& s : decided.preemptions) {
    const auto& machine = snapshot_builder_.snapshot().machines[s.machine];
    const auto& live = machine.running_tasks[s.running_task_index];
    const std::string& machine_id = machine.id;
    const TaskId task{snapshot_builder_.job_at(live.job).spec.id, live.index};
    spdlog::info("stopping {} attempt {} on {} to make room", task.text(), live.attempt,
                 machine_id);
    stop_task({task, live.attempt, machine_id}, s.grace_s);
  }
}

// A gang is started by one transaction if its chunks fit into one, and otherwise by several, one
// after the other, under the same attempt. If the shard leader fails in between, the gang has
// missing tasks, and the next shard leader completes or abandons it like any other such gang.
Task<ShardLeader::GangStart> ShardLeader::commit_gang_start(const DecidedGang& gang,
                                                            std::stop_token stop_token) {
  const std::string id = gang.starts.front().job;
  uint64_t attempt = 0;
  std::vector<CommittedStart> committed;
  while (committed.size() < gang.starts.size()) {
    Job* job = cache_.job(id);
    // The job has changed during an earlier commit: the next scheduling cycle takes its new state.
    if (!job || is_cancelled(*job) || !is_leading()) break;
    if (attempt == 0) {
      // The loss of a part since the decision may have ended the attempt.
      if (job->spec.replicated() && gangs_.count_startable(*job, gang.tasks) == 0) break;
      attempt = next_attempt(*job, gang.tasks);
      if (!may_place_gang(*job, gang, attempt)) {
        gangs_.note_not_replaceable(*job, gang.tasks, attempt);
        review_gang(*job, gang.tasks);
        break;
      }
    }
    if (rechunker_.gang_start_must_wait(*job)) break;
    ChunkEdits edits(cache_, limits());
    edits.require_unchanged(*job);
    const auto started = edit_gang_starts(*job, gang, committed.size(), attempt, edits);
    if (started.empty()) break;
    // The job may be removed while this transaction is being committed.
    std::function<void()> note_started = [&] {
      if (const Job* now = cache_.job(id)) gangs_.note_attempt_started(*now, gang.tasks, attempt);
    };
    CommitOptions options{AfterCommit::keep_cycle_request, std::move(note_started)};
    const CommitResult result =
        co_await commit_and_apply(edits.finish(), stop_token, std::move(options));
    if (result != CommitResult::committed) break;
    committed.insert(committed.end(), started.begin(), started.end());
  }
  dispatch_starts(committed);
  const bool complete = committed.size() == gang.starts.size();
  co_return complete ? GangStart::complete : GangStart::incomplete;
}

// The starts of a long scheduling cycle may be committed for as long as the cycle took, because
// deciding them anew would take as long again.
double ShardLeader::max_start_commit_s() const {
  return std::max(settings_.heartbeat_interval_s * start_commit_share, last_cycle_s_);
}

Task<ShardLeader::StepResult> ShardLeader::commit_gang_starts(std::vector<DecidedGang> gangs,
                                                              std::stop_token stop_token) {
  const double begun_at = loop_.now();
  for (auto& gang : gangs) {
    if (!is_leading()) break;
    if (loop_.now() - begun_at > max_start_commit_s()) {
      scheduling_requested_ = true;
      break;
    }
    if (co_await commit_gang_start(gang, stop_token) != GangStart::complete)
      scheduling_requested_ = true;
  }
  co_return gangs.empty() ? StepResult::idle : StepResult::busy;
}

Task<ShardLeader::StepResult> ShardLeader::commit_single_starts(
    std::vector<DecidedStart> decided_starts, std::stop_token stop_token) {
  const double begun_at = loop_.now();
  size_t next = 0;
  bool any = false;
  while (next < decided_starts.size() && is_leading()) {
    // A long run of starts must not delay lease renewals, exits and work that has become more
    // urgent.
    if (loop_.now() - begun_at > max_start_commit_s()) {
      scheduling_requested_ = true;
      std::set<std::string> jobs;
      for (size_t left = next; left < decided_starts.size(); ++left)
        jobs.insert(decided_starts[left].job);
      jobs_with_uncommitted_starts_ = jobs.size();
      break;
    }
    ChunkEdits edits(cache_, limits());
    std::vector<CommittedStart> started;
    for (; next < decided_starts.size(); ++next) {
      auto& s = decided_starts[next];
      Job* job = cache_.job(s.job);
      // The job has changed during an earlier commit: the next scheduling cycle takes its new
      // state.
      if (!job || is_cancelled(*job)) continue;
      const auto found = find_startable_task(*job, edits, [&](const TaskChunk& record) {
        return rechunker_.start_must_wait(*job, record);
      });
      if (found.transaction_full || (found.record && !edits.reserve_task_entry())) break;
      if (!found.record) continue;
      found.record->start(found.index, found.attempt, s.machine);
      edits.require_unchanged(*job);
      const uint32_t task_index = found.chunk * job->chunk_size + found.index;
      started.push_back({{s.job, task_index}, found.attempt, s.machine, s.image_cached});
    }
    if (started.empty()) break;
    any = true;
    CommitOptions options;
    options.after = AfterCommit::keep_cycle_request;
    const CommitResult result =
        co_await commit_and_apply(edits.finish(), stop_token, std::move(options));
    if (result != CommitResult::committed) {
      scheduling_requested_ = true;
      break;
    }
    dispatch_starts(started);
  }
  co_return any ? StepResult::busy : StepResult::idle;
}

void ShardLeader::dispatch_starts(const std::vector<CommittedStart>& starts) {
  const double at = loop_.now();
  for (auto& s : starts) {
    attempts_[s.task] = {{s.attempt, {at, 0, s.image_cached}}};
    stop_requests_.erase(s.task);
    spdlog::debug("start {} attempt {} on {}{}", s.task.text(), s.attempt, s.machine,
                  s.image_cached ? "" : " (image to be fetched)");
    // The machine was returned during the commit, which may take as long as an outage of the store.
    // The start command was never sent and the machine is gone, so the attempt is proven to have
    // ended.
    if (scale_in_.tracker().is_returned(s.machine))
      note_exit(s.task, {s.attempt, ExitCause::stopped, s.machine});
    auto it = machines_.find(s.machine);
    if (it == machines_.end()) continue;
    it->second.idle_since = at;
    // The job was cancelled during the commit. The start command is not sent, so the next heartbeat
    // proves that the task doesn't run.
    if (Job* job = cache_.job(s.task.job); !job || is_cancelled(*job)) continue;
    commands_.dispatch(it->second, {Command::Op::start, s.task, s.attempt, 0});
  }
}

}  // namespace damsonport
