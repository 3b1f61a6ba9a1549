// The shard leader's commits: exits, ends of jobs and starts. Each is conditional on the shard
// table and on the records that it changes.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

namespace {

// Share of a heartbeat interval for which the starts of one scheduling cycle may be committed.
constexpr double start_commit_share = 0.05;
constexpr double rejected_transaction_pause_s = 0.2;

}  // namespace

Task<void> ShardLeader::reread_keys(std::vector<std::string> failed) {
  for (auto& key : failed) {
    auto read = co_await deps_.store.get(key, RequestPriority::scheduling);
    // An absence is applied as well: otherwise a removed record that has reappeared in the cache
    // would be used again.
    if (read.answered() && read.key_value.version) cache_.apply(read.key_value);
  }
}

Task<ShardLeader::CommitResult> ShardLeader::commit_and_apply(Transaction transaction,
                                                              std::stop_token stop_token,
                                                              CommitOptions options) {
  auto writes = transaction.writes;
  auto result = co_await deps_.store.commit_until_resolved(std::move(transaction),
                                                           RequestPriority::scheduling, stop_token);
  if (result.outcome == TransactionOutcome::committed) {
    if (options.on_committed) options.on_committed();
    const bool was_requested = scheduling_requested_;
    cache_.apply_writes(writes, result.revision);
    if (options.after == AfterCommit::keep_cycle_request) scheduling_requested_ = was_requested;
    co_return CommitResult::committed;
  }
  if (result.outcome == TransactionOutcome::conflict) {
    spdlog::debug("commit conflicts with a change of key {}",
                  result.failed_keys.empty() ? "?" : result.failed_keys.front());
    co_await reread_keys(std::move(result.failed_keys));
  }
  if (result.outcome == TransactionOutcome::invalid) {
    // This outcome is definite: nothing was written, and the same transaction would be rejected
    // again.
    spdlog::error("the key-value store refuses a transaction with {} as invalid",
                  writes.empty() ? "no writes" : writes.front().key);
    rechunker_.note_rejected_writes(writes);
    co_await Sleep(loop_, rejected_transaction_pause_s, stop_token);
  }
  co_return CommitResult::not_committed;
}

// Tasks of one chunk share its write, so a job with thousands of tasks counts as few writes.
uint64_t ShardLeader::pending_writes() const {
  if (!is_leading()) return 0;
  uint64_t records = 0;
  std::string job;
  uint32_t chunk = 0;
  for (auto& [task, exit] : exits_) {
    const Job* cached_job = cache_.job(task.job);
    const uint32_t chunk_of_task = cached_job ? task.index / cached_job->chunk_size : 0;
    if (records > 0 && job == task.job && chunk == chunk_of_task) continue;
    job = task.job;
    chunk = chunk_of_task;
    ++records;
  }
  return records + jobs_with_uncommitted_starts_;
}

// Jobs of several chunks, gangs and cancelled jobs are ended by commit_final_states().
bool ShardLeader::exit_ends_job(const Job& job, const TaskChunk& record,
                                const PendingExit& exit) const {
  if (exit.cause != ExitCause::done || job.spec.kind == JobKind::gang || is_cancelled(job))
    return false;
  // The cache has to be complete up to the job's last change, so that it holds every start that
  // came before a cancellation.
  if (cache_.revision() < job.version) return false;
  return job.chunk_count() == 1 && record.finished(job.spec.tasks);
}

void ShardLeader::process_committed_exits(const std::vector<TaskId>& tasks) {
  bool any_error = false;
  for (auto& task : tasks) {
    auto it = exits_.find(task);
    if (it == exits_.end()) continue;
    any_error |= it->second.cause == ExitCause::error;
    process_committed_exit(it->second, task);
    exits_.erase(it);
  }
  // Called once for all exits, because it examines the whole fleet.
  if (any_error) review_faults();
}

Task<ShardLeader::StepResult> ShardLeader::commit_exits(std::stop_token stop_token) {
  if (exits_.empty() || !lease_.records_current()) co_return StepResult::idle;
  ChunkEdits edits(cache_, limits());
  std::vector<TaskId> other_exits, job_ending_exits;
  for (auto it = exits_.begin(); it != exits_.end();) {
    auto& [task, exit] = *it;
    Job* job = cache_.job(task.job);
    uint32_t chunk = job ? task.index / job->chunk_size : 0;
    const LiveTask* live = nullptr;
    if (job && job->chunks.contains(chunk))
      live = job->chunks[chunk].record.find_live(task.index % job->chunk_size);
    // A task of a gang may have been placed on another machine under the same attempt.
    if (!live || live->attempt != exit.attempt || live->machine != exit.machine) {
      it = exits_.erase(it);  // no longer the attempt in the records
      continue;
    }
    if (rechunker_.exit_must_wait(*job, chunk)) {
      ++it;
      continue;
    }
    auto* record = edits.edit(*job, chunk);
    if (!record) break;
    record->end_attempt(task.index % job->chunk_size,
                        exit.cause == ExitCause::done ? TaskEnd::done : TaskEnd::restart);
    const bool ends = exit_ends_job(*job, *record, exit) && edits.end_job(*job);
    (ends ? job_ending_exits : other_exits).push_back(task);
    ++it;
  }
  if (edits.empty()) co_return StepResult::idle;
  // Runs while the job is still in the cache; applying the commit removes its records there.
  std::function<void()> on_committed = [&] {
    std::set<std::string> ended;
    for (auto& task : job_ending_exits) ended.insert(task.job);
    std::vector<TaskId> exits_of_ended_jobs = job_ending_exits;
    for (auto& task : other_exits)
      if (ended.contains(task.job)) exits_of_ended_jobs.push_back(task);
    process_committed_exits(exits_of_ended_jobs);
  };
  CommitOptions options{AfterCommit::request_cycle, std::move(on_committed)};
  const CommitResult result =
      co_await commit_and_apply(edits.finish(), stop_token, std::move(options));
  if (result == CommitResult::committed) {
    for (auto& task : job_ending_exits) {
      cache_.cache_final_state(task.job, FinalState::done);
      spdlog::info("job {} is done", task.job);
    }
    process_committed_exits(other_exits);
    scheduling_requested_ = true;
  }
  co_return StepResult::busy;
}

// Removes the records of each job whose tasks are all done, or that was cancelled and has no live
// task, and writes its final state.
Task<ShardLeader::StepResult> ShardLeader::commit_final_states(std::stop_token stop_token) {
  if (!lease_.records_current()) co_return StepResult::idle;
  Transaction transaction;
  std::vector<std::string> ended;
  int remaining_writes = limits().txn_writes;
  for (auto it = finalizable_jobs_.begin(); it != finalizable_jobs_.end();) {
    const std::string& id = *it;
    Job* job = cache_.job(id);
    if (!job || !is_finalizable(*job)) {
      it = finalizable_jobs_.erase(it);
      continue;
    }
    ++it;
    // The cache has to be complete up to the job's last change, so that it holds every start that
    // came before a cancellation.
    if (cache_.revision() < job->version) continue;
    int chunks = static_cast<int>(job->chunks.size());
    // Chunks whose removal doesn't fit into the transaction become orphans, which are removed
    // later.
    int chunks_to_remove = std::min(chunks, std::max(0, limits().txn_writes - 2));
    if (remaining_writes < 2 + chunks_to_remove) break;
    remaining_writes -= 2 + chunks_to_remove;
    transaction.preconditions[keys::job(id)] = job->version;
    transaction.writes.push_back({keys::job(id), Json(), 0});
    transaction.writes.push_back(
        {keys::final_state(id),
         encode_final_state(job->cancelled ? FinalState::cancelled : FinalState::done, job->done),
         0});
    for (auto& [n, chunk] : job->chunks) {
      if (chunks_to_remove-- <= 0) break;
      transaction.writes.push_back({job->chunk_key(n), Json(), 0});
    }
    ended.push_back(id);
    spdlog::info("job {} is {}", id, job->cancelled ? "cancelled, no task is live" : "done");
    if (remaining_writes < 3) break;
  }
  if (ended.empty()) {
    for (auto& key : cache_.orphaned_chunks()) {
      if (remaining_writes-- <= 0) break;
      transaction.writes.push_back({key, Json(), 0});
    }
    if (transaction.writes.empty()) co_return StepResult::idle;
  }
  transaction.preconditions[keys::shard_table] = cache_.shard_table_version();
  std::vector<std::pair<std::string, bool>> outcome;
  outcome.reserve(ended.size());
  for (auto& id : ended) outcome.emplace_back(id, cache_.job(id)->cancelled);
  CommitOptions options;
  const CommitResult result =
      co_await commit_and_apply(std::move(transaction), stop_token, std::move(options));
  if (result == CommitResult::committed)
    for (auto& [id, cancelled] : outcome)
      cache_.cache_final_state(id, cancelled ? FinalState::cancelled : FinalState::done);
  co_return StepResult::busy;
}

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

Task<ShardLeader::StepResult> ShardLeader::rechunk(std::stop_token stop_token) {
  const bool any = co_await rechunker_.commit_next(stop_token);
  co_return any ? StepResult::busy : StepResult::idle;
}

Task<bool> ShardLeader::commit_chunks(Transaction transaction, std::stop_token stop_token) {
  CommitOptions options;
  const CommitResult result =
      co_await commit_and_apply(std::move(transaction), stop_token, std::move(options));
  co_return result == CommitResult::committed;
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
