/// The state of a job as users see it, and its form on the wire.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "storage/record_cache.hpp"
#include "transport/http.hpp"

namespace damsonport {

struct JobProgress {
  uint64_t done = 0;     ///< tasks that have finished
  uint64_t running = 0;  ///< tasks that serve: of a replica of several parts only when it is whole
};

struct JobStatus {
  enum class State : uint8_t {
    unavailable,  ///< can't be told for now
    unknown,      ///< no job of this id was accepted
    queued,       ///< accepted, and no task serves yet
    running,      ///< at least one task serves
    done,
    aborted,  ///< cancelled by its user
  };
  State state = State::unavailable;
  /// Absent where the job has ended, or where only its cancellation is known.
  std::optional<JobProgress> progress;
};

/// From the cached record: of a job that was not cancelled when it was read from the store.
JobStatus unfinished_status(const Job& job);
/// From the cached record, with its cancellation.
JobStatus cached_status(const Job& job);
/// Of a job that has ended.
JobStatus final_status(FinalState state);

/// The response to the user who asks for the job.
HttpResponse to_response(const std::string& id, const JobStatus& status);

}  // namespace damsonport
