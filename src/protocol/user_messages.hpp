/// Messages between users and controllers, and the job's record, which has the same fields. Wire
/// names are mapped to the project's terms here only; they stand in quotes behind each field.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/cbor.hpp"
#include "protocol/result.hpp"

namespace damsonport {

enum class JobKind : uint8_t {
  batch,    ///< "batch": independent tasks, each runs to completion
  service,  ///< "service": tasks run until the job is cancelled
  gang,     ///< "ensemble": tasks run only together, all at the same time or none
};

/// Of "rank"; a higher one is more urgent.
enum class Priority : uint8_t { idle, normal, high, production };

/// What a user submits, with what the controller adds at the acceptance.
struct JobSpec {
  std::string id;                        ///< "ref"; see valid_job_id()
  std::string job_class;                 ///< "berth": the class of jobs; objectives go by it
  std::string team;                      ///< "owner"
  JobKind kind = JobKind::batch;         ///< "shape"
  Priority priority = Priority::normal;  ///< "rank"
  uint32_t tasks = 1;                    ///< "hands": number of tasks
  double cpus = 0;                       ///< "cores" per task
  double gpus = 0;                       ///< "accelerators" per task
  double memory_gb = 0;                  ///< "memory_gb" per task
  std::vector<std::string> types;        ///< "hulls": allowed machine types; empty: any
  std::string zone;                      ///< "dock": the only allowed zone; empty: any
  bool one_zone = false;                 ///< "same_place": all tasks in the same zone
  bool spread = false;               ///< "spread": at most half of the tasks, rounded up, in a zone
  bool spot = false;                 ///< "tender": spot machines are allowed
  std::string image;                 ///< "cargo": name of the image
  double image_gb = 0;               ///< "size_gb" of the image
  double estimate_s = 0;             ///< "voyage_s": its owner's estimate of a task's run time, s
  double checkpoint_s = 0;           ///< "moor_s": progress between checkpoints, s; 0: none
  double save_s = 0;                 ///< "stow_s": that a stopped task needs to save, s
  std::optional<double> deadline_s;  ///< "due_s": from the acceptance to the deadline, s
  double accepted_at = 0;            ///< "accepted_at", in records only: seconds since 1970
  uint32_t parts = 1;                ///< "parts", in records only: tasks of one replica
  bool distinct_machines = false;    ///< "distinct_machines", in records only: no two parts
                                     ///< of a replica on one machine

  /// A service whose replicas have several parts.
  bool replicated() const { return kind == JobKind::service && parts > 1; }
  /// Tasks that start and end as one: all of a gang, or the parts of a replica; 0: each by itself.
  uint32_t gang_size() const {
    if (kind == JobKind::gang) return tasks;
    return replicated() ? parts : 0;
  }
};

/// "run-" and up to 60 letters, digits, '-', '_' or '.'.
bool valid_job_id(std::string_view id);

/// Decodes a job's record, which leaves out the fields that have their default. The error names the
/// first field that is missing or invalid.
Result<JobSpec> decode_job(const Json& map);
/// Decodes a user's message, in which only hulls, dock and due_s may be null or left out. The
/// fields of records only are ignored. The error goes to the user.
Result<JobSpec> decode_submission(const Json& map);
/// The job's record.
Json encode_job(const JobSpec& spec);

/// Response to a user; `status`: the wire's name of the job's state.
std::string encode_job_status(const std::string& id, std::string_view status);
/// The same with the numbers of tasks that are done and that run.
std::string encode_job_progress(const std::string& id, std::string_view status, uint64_t done,
                                uint64_t running);

}  // namespace damsonport
