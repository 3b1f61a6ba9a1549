// The operators' file that names the classes whose replicas span several machines.
//
//   (replicas
//     (class lotusframe (parts 2) (distinct-machines yes) (repairs 4) (moves 1)
//       (backoff-leases 0.5 10)))
//
// It counts at a job's acceptance: the record then says of how many parts its replicas are. How
// many are repaired and moved at a time, and when a failed start is tried again, can be changed
// later.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/result.hpp"

namespace damsonport {

// How replicas of a class are repaired and moved.
struct ReplicaPolicy {
  std::string job_class;
  uint32_t parts = 1;  // of a replica
  bool distinct_machines = false;
  // Replicas that may be under repair, and that may be down for a move, at a time.
  uint32_t repairs = 4, moves = 1;
  // In leases: from the first failed start to the next try, which doubles, and at the longest.
  double first_backoff_leases = 0.5, longest_backoff_leases = 10;
};

struct ReplicaSettings {
  std::vector<ReplicaPolicy> classes;

  // Of this class, or null.
  const ReplicaPolicy* find(const std::string& job_class) const;
  // Of this class, or the defaults where the file doesn't name it.
  const ReplicaPolicy& policy(const std::string& job_class) const;
  // Writes into a service's description of how many parts its replicas are, as the file has its
  // class.
  void describe(JobSpec& spec) const;
};

// All problems at once, each with its line.
Result<ReplicaSettings> parse_replicas(const std::string& text);
Result<ReplicaSettings> load_replicas(const std::string& path);

}  // namespace damsonport
