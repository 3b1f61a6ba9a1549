/// Answers what state a job is in, never with less than what was answered before.
#pragma once
#include <optional>
#include <string>

#include "coordination/api/job_status.hpp"
#include "coordination/api/version_confirmer.hpp"

namespace damsonport {

/// Reads a job's status from the cache and has it confirmed by the key-value store.
///
/// A final state can't change and is returned at once. Any other may be older than what another
/// controller has answered already, so the cached record's version is confirmed first.
class JobStatusReader {
 public:
  JobStatusReader(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache);

  /// The job's status as of some moment after the call.
  Task<JobStatus> read(std::string id);
  /// Background task: confirms the versions that read() waits for.
  Task<void> run(std::stop_token stop_token) { return confirmer_.run(std::move(stop_token)); }

 private:
  Task<std::optional<JobStatus>> read_from_store(std::string id);

  KeyValueClient& store_;
  RecordCache& cache_;
  VersionConfirmer confirmer_;
};

}  // namespace damsonport
