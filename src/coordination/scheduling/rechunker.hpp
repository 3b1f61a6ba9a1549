/// Rechunking: the tasks of jobs that were accepted under larger size limits are divided into
/// chunks that fit the limits the key-value store announces now.
///
/// First the chunks of the new layout are written, a few in each transaction; meanwhile nothing
/// else of the job is written. One more transaction then makes the job's record name the new
/// layout. Until then nobody reads the new chunks, and after a failover the next leader begins
/// again. Chunks of the old layout are removed as orphans. Controllers of an older version would
/// remove the new ones, so rechunking begins only when there are none.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>

#include "coordination/leadership/version_registry.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Owned by the shard leader. All calls are made by its event loop; commit_next() by one background
/// task at a time.
class Rechunker {
 public:
  /// Commits a transaction until its result is known, and applies it to the cache. False: nothing
  /// of it was written.
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

  /// Forgets all jobs, as leadership ends.
  void clear();

  /// Whether a start has to wait until the job is rechunked, because the chunk must not grow.
  /// Requests the rechunking if it is possible now.
  [[nodiscard]] bool must_wait(const Job& job, const TaskChunk& chunk);
  /// Likewise for the exit of a task. It waits only if the rechunking is possible now.
  [[nodiscard]] bool exit_must_wait(const Job& job, uint32_t chunk);
  /// Likewise for the start of a gang.
  [[nodiscard]] bool gang_must_wait(const Job& gang);
  /// The key-value store rejected these writes as too large: requests the rechunking of their jobs.
  void note_refused(const std::vector<Write>& writes);
  /// Commits the next transaction of a rechunking. False: none is requested.
  [[nodiscard]] Task<bool> commit_next(std::stop_token stop_token);

 private:
  /// A rechunking under way.
  struct Progress {
    std::string job;
    uint64_t job_version = 0;                // it begins again if the job's record changes
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
