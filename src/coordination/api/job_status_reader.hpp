/// Reads the status of jobs. A reported status is never older than one reported before.
#pragma once
#include <optional>
#include <string>

#include "coordination/api/job_status.hpp"
#include "coordination/api/version_confirmer.hpp"

namespace damsonport {

/// Reads a job's status from the cache and has it confirmed by the key-value store.
///
/// A final state can't change and is returned at once. Any other cached state may be older than a
/// state that another controller has already reported to a user, so the version of the cached
/// record is confirmed first. The objects passed to the constructor must outlive the reader.
class JobStatusReader {
 public:
  JobStatusReader(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache);

  /// Returns the job's status at some time between the call and the return.
  Task<JobStatus> read(std::string id);
  /// Background task that confirms the versions for which read() waits, until a stop is requested.
  Task<void> run(std::stop_token stop_token) { return confirmer_.run(std::move(stop_token)); }

 private:
  Task<std::optional<JobStatus>> read_from_store(std::string id);

  KeyValueClient& store_;
  RecordCache& cache_;
  VersionConfirmer confirmer_;
};

}  // namespace damsonport
