/// The status of a job as shown to users, and its encoding as an HTTP response.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "storage/record_cache.hpp"
#include "transport/http.hpp"

namespace damsonport {

/// Task counts of a job that has not ended.
struct JobProgress {
  uint64_t done = 0;  ///< completed tasks
  /// Running tasks. The tasks of a replica of several parts count only while all its parts run.
  uint64_t running = 0;
};

/// Status of a job.
struct JobStatus {
  /// State of a job. Users see the names of the states other than `unavailable` and `unknown`.
  enum class State : uint8_t {
    unavailable,  ///< can't be determined at the moment
    unknown,      ///< no job with this id was accepted
    queued,       ///< accepted, no task counts as running yet
    running,      ///< at least one task counts as running
    done,
    aborted,  ///< cancelled by its user
  };
  State state = State::unavailable;
  /// Not set if the job has ended or only its cancellation is known.
  std::optional<JobProgress> progress;
};

/// Status of a job whose record, as just read from the key-value store, is not cancelled. The task
/// counts come from the cached record `job`.
JobStatus unfinished_status(const Job& job);
/// Status from the cached record, including a cancellation.
JobStatus cached_status(const Job& job);
/// Status of a job that has ended.
JobStatus final_status(FinalState state);

/// The HTTP response that reports this status of job `id` to a user.
HttpResponse to_response(const std::string& id, const JobStatus& status);

}  // namespace damsonport
