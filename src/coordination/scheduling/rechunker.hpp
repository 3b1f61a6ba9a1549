/// Rechunking: divides the tasks of jobs that were accepted under larger size limits into chunks
/// that fit the limits that the key-value store announces now.
///
/// The chunks of the new layout are written first, several per transaction. In the meantime nothing
/// else of the job is written. A final transaction then changes the layout in the job's record.
/// Until that transaction no controller reads the new chunks; after a failover the next leader
/// starts over. Chunks of the old layout are removed as orphans. Controllers of an older version
/// would remove the new chunks as orphans, so rechunking starts only when no such controller is
/// left.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>

#include "coordination/leadership/version_registry.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Owned by the shard leader and called on its event loop. commit_next() is called by one
/// background task at a time.
class Rechunker {
 public:
  /// Commits a transaction, waits until its result is known and applies it to the cache. Returns
  /// false if the transaction was not written.
  using Commit = std::function<Task<bool>(Transaction, std::stop_token)>;

  /// All references have to outlive the rechunker.
  Rechunker(Loop& loop, const Settings& settings, RecordCache& cache, KeyValueClient& store,
            const VersionRegistry& versions, Commit commit)
      : loop_(loop),
        settings_(settings),
        cache_(cache),
        store_(store),
        versions_(versions),
        commit_(std::move(commit)) {}

  /// Forgets all jobs. Called when the leadership ends.
  void clear();

  /// Whether a start has to wait until the job is rechunked, because the chunk must not grow.
  /// Requests the rechunking if all controllers support it.
  [[nodiscard]] bool start_must_wait(const Job& job, const TaskChunk& chunk);
  /// Whether the exit of a task has to wait until the job is rechunked. An exit waits only if the
  /// rechunking is possible now.
  [[nodiscard]] bool exit_must_wait(const Job& job, uint32_t chunk);
  /// Whether the start of a gang has to wait until its job is rechunked. Requests the rechunking if
  /// the gang's chunks are larger than the limits allow.
  [[nodiscard]] bool gang_start_must_wait(const Job& gang);
  /// Requests the rechunking of the jobs whose writes the key-value store rejected as too large.
  void note_rejected_writes(const std::vector<Write>& writes);
  /// Commits the next transaction of a requested rechunking. Returns false if there was nothing to
  /// commit.
  [[nodiscard]] Task<bool> commit_next(std::stop_token stop_token);

 private:
  /// A rechunking under way.
  struct Progress {
    std::string job;
    uint64_t job_version = 0;                // the rechunking starts over if it changes
    std::map<uint32_t, TaskChunk> to_write;  // chunks of the new layout, by number
  };
  [[nodiscard]] const StateLimits& limits() const { return settings_.state_limits.minimum(); }
  [[nodiscard]] bool is_oversized(const Job& job) const;
  Task<bool> commit_new_chunks(std::string id, std::stop_token stop_token);
  Task<bool> commit_new_layout(std::string id, std::stop_token stop_token);

  Loop& loop_;
  const Settings& settings_;
  RecordCache& cache_;
  KeyValueClient& store_;
  const VersionRegistry& versions_;
  const Commit commit_;
  std::set<std::string> requested_;  // ids of jobs
  Progress progress_;
};

}  // namespace damsonport
