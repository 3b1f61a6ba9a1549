/// The operators' file that names the classes whose replicas span several machines.
///
///     (replicas
///       (class lotusframe (parts 2) (distinct-machines yes) (repairs 4) (moves 1)
///         (backoff-leases 0.5 10)))
///
/// The number of parts counts at a job's acceptance, and is kept in its record. How many replicas
/// are repaired and moved at a time, and when a failed start is tried again, can be changed later.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/result.hpp"

namespace damsonport {

/// How replicas of a class are placed, repaired and moved.
struct ReplicaPolicy {
  std::string job_class;
  uint32_t parts = 1;              ///< tasks of one replica
  bool distinct_machines = false;  ///< no two parts of a replica on one machine
  /// Replicas that may be under repair, and that may be down for a move, at a time.
  uint32_t repairs = 4, moves = 1;
  /// In worker leases: from the first failed start to the next try, which doubles with each
  /// failure, and the longest.
  double first_backoff_leases = 0.5, longest_backoff_leases = 10;
};

/// The file's content.
struct ReplicaSettings {
  std::vector<ReplicaPolicy> classes;

  /// The policy of this class; null where the file doesn't name it.
  const ReplicaPolicy* find(const std::string& job_class) const;
  /// The policy of this class, or the defaults where the file doesn't name it.
  const ReplicaPolicy& policy(const std::string& job_class) const;
  /// Sets the parts of a service's replicas as the file has its class; other jobs stay as they
  /// are.
  void apply_to(JobSpec& spec) const;
};

/// The error has all problems, each with its line.
Result<ReplicaSettings> parse_replicas(const std::string& text);
/// As parse_replicas(); each problem names the file too.
Result<ReplicaSettings> load_replicas(const std::string& path);

}  // namespace damsonport
