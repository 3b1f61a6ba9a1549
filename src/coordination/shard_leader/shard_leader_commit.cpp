// The shard leader's commits of exits and of ends of jobs. Each is conditional on the shard table
// and on the records that it changes.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

namespace {

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

}  // namespace damsonport
