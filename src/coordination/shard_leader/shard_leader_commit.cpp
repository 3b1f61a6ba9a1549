// What the holder writes: exits, ends of jobs and starts, each conditional on `blocks` and on the
// record that it changes.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

namespace {

// Share of a report period that one pass may go on committing starts.
constexpr double starts_share = 0.05;
constexpr double pause_after_refusal_s = 0.2;

}  // namespace

Task<void> ShardLeader::reread(std::vector<std::string> failed) {
  for (auto& key : failed) {
    auto read = co_await deps_.store.get(key, RequestPriority::scheduling);
    // Also that it is absent: a copy that came back from the dead must not be built on again.
    if (read.answered() && read.key_value.version) cache_.apply(read.key_value);
  }
}

Task<ShardLeader::CommitResult> ShardLeader::commit_and_apply(Transaction transaction,
                                                              std::stop_token stop_token,
                                                              CommitOptions options) {
  auto writes = transaction.writes;
  auto reply = co_await deps_.store.commit_until_resolved(std::move(transaction),
                                                          RequestPriority::scheduling, stop_token);
  if (reply.outcome == TransactionOutcome::committed) {
    if (options.on_committed) options.on_committed();
    const bool was_requested = scheduling_requested_;
    cache_.apply_writes(writes, reply.revision);
    if (options.after == AfterCommit::keep_cycle_request) scheduling_requested_ = was_requested;
    co_return CommitResult::committed;
  }
  if (reply.outcome == TransactionOutcome::conflict) {
    spdlog::debug("a commit conflicts with a change of {}",
                  reply.failed_keys.empty() ? "?" : reply.failed_keys.front());
    co_await reread(std::move(reply.failed_keys));
  }
  if (reply.outcome == TransactionOutcome::invalid) {
    // Definite: nothing of it was written, and the same again would be refused again.
    spdlog::error("the key-value store refuses a transaction with {} as invalid",
                  writes.empty() ? "no writes" : writes.front().key);
    rechunker_.note_refused(writes);
    co_await Sleep(loop_, pause_after_refusal_s, stop_token);
  }
  co_return CommitResult::not_committed;
}

// Tasks of one record share its write, so that an array of thousands wants few.
uint64_t ShardLeader::waiting_writes() const {
  if (!is_leading()) return 0;
  uint64_t records = 0;
  std::string job;
  uint32_t chunk = 0;
  for (auto& [name, exit] : exits_) {
    const Job* known = cache_.job(name.job);
    const uint32_t of_task = known ? name.index / known->chunk_size : 0;
    if (records > 0 && job == name.job && chunk == of_task) continue;
    job = name.job;
    chunk = of_task;
    ++records;
  }
  return records + uncommitted_starts_;
}

// Jobs of several records, gangs and cancelled ones are ended by commit_finals().
bool ShardLeader::ends_with(const Job& job, const TaskChunk& record,
                            const PendingExit& exit) const {
  if (exit.cause != ExitCause::done || job.spec.kind == JobKind::gang || is_cancelled(job))
    return false;
  // Complete up to the job's last change: no start before a cancellation is unknown to us.
  if (cache_.revision() < job.version) return false;
  return job.chunk_count() == 1 && record.finished(job.spec.tasks);
}

void ShardLeader::finish_exits(const std::vector<TaskId>& tasks) {
  bool any_failed = false;
  for (auto& name : tasks) {
    auto it = exits_.find(name);
    if (it == exits_.end()) continue;
    any_failed |= it->second.cause == ExitCause::error;
    finish_exit(it->second, name);
    exits_.erase(it);
  }
  // Once for all of them: it looks through the whole fleet.
  if (any_failed) review_faults();
}

Task<ShardLeader::StepResult> ShardLeader::commit_exits(std::stop_token stop_token) {
  if (exits_.empty() || !lease_.records_current()) co_return StepResult::idle;
  ChunkEdits edits(cache_, limits());
  std::vector<TaskId> taken, last;  // `last`: those that end their jobs
  for (auto it = exits_.begin(); it != exits_.end();) {
    auto& [name, exit] = *it;
    Job* job = cache_.job(name.job);
    uint32_t chunk = job ? name.index / job->chunk_size : 0;
    const LiveTask* live = nullptr;
    if (job && job->chunks.contains(chunk))
      live = job->chunks[chunk].record.find_live(name.index % job->chunk_size);
    // A gang's task may have gone to another machine under the same attempt.
    if (!live || live->attempt != exit.attempt || live->machine != exit.machine) {
      it = exits_.erase(it);  // the records are past it
      continue;
    }
    if (rechunker_.exit_must_wait(*job, chunk)) {
      ++it;
      continue;
    }
    auto* record = edits.edit(*job, chunk);
    if (!record) break;
    record->end_attempt(name.index % job->chunk_size,
                        exit.cause == ExitCause::done ? TaskEnd::done : TaskEnd::restart);
    const bool ends = ends_with(*job, *record, exit) && edits.end_with_edit(*job);
    (ends ? last : taken).push_back(name);
    ++it;
  }
  if (edits.empty()) co_return StepResult::idle;
  // While the job is still known here: its records go with the commit.
  std::function<void()> committed = [&] {
    std::set<std::string> ended;
    for (auto& name : last) ended.insert(name.job);
    std::vector<TaskId> of_ended = last;
    for (auto& name : taken)
      if (ended.contains(name.job)) of_ended.push_back(name);
    finish_exits(of_ended);
  };
  CommitOptions options{AfterCommit::request_cycle, std::move(committed)};
  const CommitResult result =
      co_await commit_and_apply(edits.finish(), stop_token, std::move(options));
  if (result == CommitResult::committed) {
    for (auto& name : last) {
      cache_.cache_final_state(name.job, FinalState::done);
      spdlog::info("job {} is done", name.job);
    }
    finish_exits(taken);
    scheduling_requested_ = true;
  }
  co_return StepResult::busy;
}

// A job's record goes when all its tasks are done, or when it was cancelled and none is left.
Task<ShardLeader::StepResult> ShardLeader::commit_finals(std::stop_token stop_token) {
  if (!lease_.records_current()) co_return StepResult::idle;
  Transaction transaction;
  std::vector<std::string> ended;
  int room = limits().txn_writes;
  for (auto it = over_.begin(); it != over_.end();) {
    const std::string& id = *it;
    Job* job = cache_.job(id);
    if (!job || !is_over(*job)) {
      it = over_.erase(it);
      continue;
    }
    ++it;
    // Complete up to the job's last change: no start before a cancellation is unknown to us.
    if (cache_.revision() < job->version) continue;
    int chunks = static_cast<int>(job->chunks.size());
    // Chunks that don't fit in become orphans, which are swept later.
    int with = std::min(chunks, std::max(0, limits().txn_writes - 2));
    if (room < 2 + with) break;
    room -= 2 + with;
    transaction.preconditions[keys::job(id)] = job->version;
    transaction.writes.push_back({keys::job(id), Json(), 0});
    transaction.writes.push_back(
        {keys::final_state(id),
         encode_final_state(job->cancelled ? FinalState::cancelled : FinalState::done, job->done),
         0});
    for (auto& [n, chunk] : job->chunks) {
      if (with-- <= 0) break;
      transaction.writes.push_back({job->chunk_key(n), Json(), 0});
    }
    ended.push_back(id);
    spdlog::info("job {} is {}", id, job->cancelled ? "cancelled and gone" : "done");
    if (room < 3) break;
  }
  if (ended.empty()) {
    for (auto& key : cache_.orphaned_chunks()) {
      if (room-- <= 0) break;
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
  std::vector<SnapshotBuilder::ExpectedMachine> expected;
  autoscaler_.for_each_expected_machine([&](auto&, auto& booting, auto& type) {
    const scheduling::Resources total{type.cpus, type.gpus, type.memory_gb};
    expected.push_back({booting.kind.type, booting.kind.zone, booting.kind.spot, total});
  });
  snapshot_builder_.refresh(machines_, failure_detector_.unreachable_zones(machines_, loop_.now()),
                            expected);
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
  uncommitted_starts_ = 0;
  // One pass serves all that came meanwhile; passes are spaced so that bursts share them.
  next_cycle_at_ = now + std::min(0.05, settings_.heartbeat_interval_s / 30);
  scheduling_requested_ = false;

  refresh_snapshot();
  const auto decided = scheduling::place(snapshot_builder_.snapshot());
  note_unschedulable(decided);
  dispatch_preemptions(decided);
  // A pass over a large fleet that a new holder hears for the first time takes long: half of the
  // time is left to reports and users.
  last_cycle_s_ = loop_.now() - now;
  next_cycle_at_ = std::max(next_cycle_at_, now + 2 * last_cycle_s_);

  // By name from here on: places in the view are used anew while the commits are under way.
  std::vector<DecidedStart> singles;
  for (auto& start : decided.starts)
    singles.push_back(snapshot_builder_.start_by_name(start.job, start.machine));
  std::vector<DecidedGang> gangs;
  for (auto& gang : decided.gangs) gangs.push_back(snapshot_builder_.gang_by_name(gang));
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
  for (auto& s : decided.stops) {
    const auto& machine = snapshot_builder_.snapshot().machines[s.machine];
    const auto& live = machine.live[s.live];
    const std::string& machine_id = machine.id;
    const TaskId name{snapshot_builder_.job_at(live.job).spec.id, live.index};
    spdlog::info("stopping {} attempt {} on {} to make room", name.text(), live.attempt,
                 machine_id);
    stop_task({name, live.attempt, machine_id}, s.grace_s);
  }
}

// A gang is started by one transaction where its records fit into one. Otherwise one after the
// other under the same attempt: a holder that ends halfway leaves a gang with missing tasks, which
// the next one completes or gives up like any other.
Task<ShardLeader::GangStart> ShardLeader::commit_gang_start(const DecidedGang& gang,
                                                            std::stop_token stop_token) {
  const std::string id = gang.starts.front().job;
  uint64_t attempt = 0;
  std::vector<CommittedStart> committed;
  while (committed.size() < gang.starts.size()) {
    Job* job = cache_.job(id);
    // Changed while it was being committed: the next pass sees it as it is.
    if (!job || is_cancelled(*job) || !is_leading()) break;
    if (attempt == 0) {
      // A part that was lost since may have ended the attempt.
      if (job->spec.replicated() && gangs_.startable(*job, gang.tasks) == 0) break;
      attempt = next_attempt(*job, gang.tasks);
    }
    if (rechunker_.gang_must_wait(*job)) break;
    ChunkEdits edits(cache_, limits());
    edits.require_unchanged(*job);
    const auto started = edit_gang_starts(*job, gang, committed.size(), attempt, edits);
    if (started.empty()) break;
    // The job may go while this is committed.
    std::function<void()> begun = [&] {
      if (const Job* now = cache_.job(id)) gangs_.note_attempt_started(*now, gang.tasks, attempt);
    };
    CommitOptions options{AfterCommit::keep_cycle_request, std::move(begun)};
    const CommitResult result =
        co_await commit_and_apply(edits.finish(), stop_token, std::move(options));
    if (result != CommitResult::committed) break;
    committed.insert(committed.end(), started.begin(), started.end());
  }
  dispatch_starts(committed);
  const bool complete = committed.size() == gang.starts.size();
  co_return complete ? GangStart::complete : GangStart::incomplete;
}

// What a long pass has decided is committed for as long as it took, rather than decided again.
double ShardLeader::starts_may_take_s() const {
  return std::max(settings_.heartbeat_interval_s * starts_share, last_cycle_s_);
}

Task<ShardLeader::StepResult> ShardLeader::commit_gang_starts(std::vector<DecidedGang> gangs,
                                                              std::stop_token stop_token) {
  const double begun = loop_.now();
  for (auto& gang : gangs) {
    if (!is_leading()) break;
    if (loop_.now() - begun > starts_may_take_s()) {
      scheduling_requested_ = true;
      break;
    }
    if (co_await commit_gang_start(gang, stop_token) != GangStart::complete)
      scheduling_requested_ = true;
  }
  co_return gangs.empty() ? StepResult::idle : StepResult::busy;
}

Task<ShardLeader::StepResult> ShardLeader::commit_single_starts(std::vector<DecidedStart> planned,
                                                                std::stop_token stop_token) {
  const double begun = loop_.now();
  size_t next = 0;
  bool any = false;
  while (next < planned.size() && is_leading()) {
    // A long run of starts must not hold up renewals, exits and what became more urgent meanwhile.
    if (loop_.now() - begun > starts_may_take_s()) {
      scheduling_requested_ = true;
      std::set<std::string> jobs;
      for (size_t left = next; left < planned.size(); ++left) jobs.insert(planned[left].job);
      uncommitted_starts_ = jobs.size();
      break;
    }
    ChunkEdits edits(cache_, limits());
    std::vector<CommittedStart> started;
    for (; next < planned.size(); ++next) {
      auto& s = planned[next];
      Job* job = cache_.job(s.job);
      // Changed while an earlier part was being committed: the next pass sees it as it is.
      if (!job || is_cancelled(*job)) continue;
      const auto found = find_startable(
          *job, edits, [&](const TaskChunk& record) { return rechunker_.must_wait(*job, record); });
      if (found.full || (found.record && !edits.take_entry())) break;
      if (!found.record) continue;
      found.record->start(found.index, found.attempt, s.machine);
      edits.require_unchanged(*job);
      const uint32_t in_job = found.chunk * job->chunk_size + found.index;
      started.push_back({{s.job, in_job}, found.attempt, s.machine, s.image_cached});
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
    stopping_.erase(s.task);
    spdlog::debug("start {} attempt {} on {}{}", s.task.text(), s.attempt, s.machine,
                  s.image_cached ? "" : " (image to be fetched)");
    // Returned while this was committed, which may take as long as an outage: the start was never
    // ordered and the machine is gone, which is proof.
    if (scale_in_.tracker().is_returned(s.machine))
      note_exit(s.task, {s.attempt, ExitCause::stopped, s.machine});
    auto it = machines_.find(s.machine);
    if (it == machines_.end()) continue;
    it->second.idle_since = at;
    // Cancelled while it was committed: never ordered, it is gone by the next report.
    if (Job* job = cache_.job(s.task.job); !job || is_cancelled(*job)) continue;
    commands_.dispatch(it->second, {Command::Op::start, s.task, s.attempt, 0});
  }
}

}  // namespace damsonport
