// Jobs accepted under larger limits: their tasks are divided anew into records that fit the
// announced ones.
//
// The chunks of the new layout are written first, a few in each transaction, while nothing else of
// the job is written. The job's record then names the new layout, in one transaction; until then
// nobody reads them, and whoever takes over begins again. Records of the old layout are removed as
// orphans. An older version would remove the new ones, so it begins only when there is none.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>

#include "coordination/leadership/version_registry.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

class Rechunker {
 public:
  // Commits surely and applies; false: nothing of it was written.
  using Commit = std::function<Task<bool>(Transaction, std::stop_token)>;
  Rechunker(Loop& loop, const Settings& settings, RecordCache& cache, KeyValueClient& store,
            const VersionRegistry& versions, Commit commit)
      : loop_(loop),
        settings_(settings),
        cache_(cache),
        store_(store),
        versions_(versions),
        commit_(std::move(commit)) {}
  void clear();

  // The record must not grow, or not be written at all, before its job's tasks are divided anew.
  bool must_wait(const Job& job, const TaskChunk& record);
  // Likewise for an exit, which under the present limits has to be written.
  bool exit_must_wait(const Job& job, uint32_t chunk);
  bool gang_must_wait(const Job& gang);
  // The state service takes no such values.
  void note_refused(const std::vector<Write>& writes);
  // The next transaction of a division; false: there is none.
  Task<bool> commit_next(std::stop_token stop_token);

 private:
  struct Dividing {
    std::string job;
    uint64_t job_version = 0;
    std::map<uint32_t, TaskChunk> to_write;
  };
  const StateLimits& limits() const { return settings_.state_limits.always(); }
  Task<bool> commit_divided_chunks(std::string id, std::stop_token stop_token);
  Task<bool> commit_new_layout(std::string id, std::stop_token stop_token);

  Loop& loop_;
  const Settings& settings_;
  RecordCache& cache_;
  KeyValueClient& store_;
  const VersionRegistry& versions_;
  const Commit commit_;
  std::set<std::string> to_divide_;  // jobs
  Dividing dividing_;
};

}  // namespace damsonport
