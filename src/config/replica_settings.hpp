/// Settings of the job classes whose replicas consist of several parts, read from the operators'
/// replicas file.
///
///     (replicas
///       (class lotusframe (parts 2) (distinct-machines yes) (repairs 4) (moves 1)
///         (backoff-leases 0.5 10)))
///
/// The number of parts and whether they need distinct machines are stored in a job's record when
/// the job is accepted, so a later change of the file affects only new jobs. The other entries
/// apply to all jobs from the next start of the controller on.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/result.hpp"

namespace damsonport {

/// Policy for placing, repairing and moving the replicas of one class.
struct ReplicaPolicy {
  std::string job_class;
  uint32_t parts = 1;              ///< tasks of one replica
  bool distinct_machines = false;  ///< no two parts of a replica run on one machine
  /// Maximum number of replicas that are under repair, and that are being moved, at the same time.
  uint32_t repairs = 4, moves = 1;
  /// Retry delay after the first failed start, which doubles with each further failure, and the
  /// longest delay; both in worker leases.
  double first_backoff_leases = 0.5, longest_backoff_leases = 10;
};

/// The contents of the replicas file.
struct ReplicaSettings {
  std::vector<ReplicaPolicy> classes;

  /// The policy of this class; null if the file doesn't list the class.
  const ReplicaPolicy* find(const std::string& job_class) const;
  /// The policy of this class, or the defaults if the file doesn't list the class.
  const ReplicaPolicy& policy(const std::string& job_class) const;
  /// Sets the number of parts and the need for distinct machines of a service, by its class. Other
  /// jobs, and classes that the file doesn't list, stay unchanged.
  void apply_to(JobSpec& spec) const;
};

/// Parses a replicas file. The error lists all problems, each with its line.
Result<ReplicaSettings> parse_replicas(const std::string& text);
/// Reads the file and calls parse_replicas(); each problem names the file too.
Result<ReplicaSettings> load_replicas(const std::string& path);

}  // namespace damsonport
