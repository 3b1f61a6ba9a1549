/// Messages between users and controllers, and the record of a job, which has the same fields. Only
/// this module knows the wire names of the fields; the comment of each field gives its wire name in
/// quotes.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/cbor.hpp"
#include "protocol/result.hpp"

namespace damsonport {

/// Kind of a job.
enum class JobKind : uint8_t {
  batch,    ///< "batch": independent tasks that each run to completion
  service,  ///< "service": tasks that run until the job is cancelled
  gang,     ///< "ensemble": tasks that run all at the same time or not at all
};

/// Priority of a job ("rank"), from the least to the most urgent.
enum class Priority : uint8_t { idle, normal, high, production };

/// Specification of a job: the fields that a user submits, and the fields that the controller adds
/// when it accepts the job.
struct JobSpec {
  std::string id;                        ///< "ref"; see valid_job_id()
  std::string job_class;                 ///< "berth": class of the job; objectives apply to classes
  std::string team;                      ///< "owner"
  JobKind kind = JobKind::batch;         ///< "shape"
  Priority priority = Priority::normal;  ///< "rank"
  uint32_t tasks = 1;                    ///< "hands": number of tasks
  double cpus = 0;                       ///< "cores" per task
  double gpus = 0;                       ///< "accelerators" per task
  double memory_gb = 0;                  ///< "memory_gb" per task
  std::vector<std::string> types;        ///< "hulls": allowed machine types; empty: all
  std::string zone;                      ///< "dock": the only allowed zone; empty: all zones
  bool one_zone = false;                 ///< "same_place": all tasks in the same zone
  bool spread = false;      ///< "spread": at most half of the tasks, rounded up, in one zone
  bool spot = false;        ///< "tender": spot machines are allowed
  std::string image;        ///< "cargo": name of the image
  double image_gb = 0;      ///< "size_gb": size of the image
  double estimate_s = 0;    ///< "voyage_s": the owner's estimate of a task's run time, s
  double checkpoint_s = 0;  ///< "moor_s": run time between checkpoints, s; 0: no checkpoints
  double save_s = 0;        ///< "stow_s": time that a stopped task needs to save, s
  std::optional<double> deadline_s;  ///< "due_s": time from acceptance to the deadline, s
  double accepted_at = 0;            ///< "accepted_at": Unix time of acceptance, s; in records only
  uint32_t parts = 1;                ///< "parts": number of tasks of one replica; in records only
  bool distinct_machines = false;    ///< "distinct_machines": no two parts of a replica on
                                     ///< the same machine; in records only

  /// Whether the job is a service whose replicas consist of several parts.
  bool replicated() const { return kind == JobKind::service && parts > 1; }
  /// Number of tasks that start and end together: all tasks of a gang, or the parts of a replica. 0
  /// if the tasks are independent.
  uint32_t gang_size() const {
    if (kind == JobKind::gang) return tasks;
    return replicated() ? parts : 0;
  }
};

/// Whether `id` consists of "run-" and 1 to 60 characters out of letters, digits, '-', '_' and '.'.
bool valid_job_id(std::string_view id);

/// Decodes the record of a job. Fields that are absent from the record have their default values.
/// The error names the first field that is missing or invalid.
Result<JobSpec> decode_job(const Json& map);
/// Decodes the submission of a user, in which only "hulls", "dock" and "due_s" may be null or
/// absent. Fields that only records have are ignored. The error text is sent to the user.
Result<JobSpec> decode_submission(const Json& map);
/// Encodes the record of a job.
Json encode_job(const JobSpec& spec);

/// Encodes the response with the state of a job. `status` is the state's name in messages.
std::string encode_job_status(const std::string& id, std::string_view status);
/// Encodes the response with the state of a job and its numbers of finished and of running tasks.
std::string encode_job_progress(const std::string& id, std::string_view status, uint64_t done,
                                uint64_t running);

}  // namespace damsonport
