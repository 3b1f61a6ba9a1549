/// Types of the records that the controllers of a cluster share through the key-value store, other
/// than jobs, task chunks and quotas.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace damsonport {

/// A shard lease: the right of one controller to schedule on the machines of a shard and to answer
/// their heartbeats.
struct ShardLease {
  std::string controller;
  uint64_t incarnation = 0;
  uint64_t fencing_token = 0;         // workers obey the highest token that they have seen
  std::vector<std::string> machines;  // machines of the shard
  bool covers_unassigned = false;     // also every machine and team named in no other lease
  // The token with which the lease was acquired, if it has been raised since; 0: it has not.
  uint64_t acquired_fencing_token = 0;

  /// The token with which the lease was acquired. All tokens from it up to `fencing_token` belong
  /// to this lease.
  uint64_t first_fencing_token() const {
    return acquired_fencing_token != 0 ? acquired_fencing_token : fencing_token;
  }
};

/// All shard leases, in one record.
struct ShardTable {
  std::vector<ShardLease> leases;
  uint64_t renewals = 0;  // grows with every write of the record
};

/// The controller that is the cluster leader. The record is attached to a lease of the key-value
/// store, which removes the record when the lease ends.
struct LeaderRecord {
  std::string controller;
  uint64_t incarnation = 0;
};

/// A task's exit that a machine reported to a controller other than its shard leader.
struct ForwardedExit {
  std::string machine;
  TaskId task;
  uint64_t attempt = 0;
  ExitCause cause = ExitCause::none;  // stored as the enumerator's number
  uint64_t agent_epoch = 0;  // of the heartbeat; 0: not stored, as by versions that had no field
  auto operator<=>(const ForwardedExit&) const = default;
};

/// All exits that one controller has recorded for the shard leader.
struct ForwardedExits {
  uint64_t fencing_token = 0;  // token that the reporting machines had seen
  std::vector<ForwardedExit> exits;
};

/// Outcome of a job that is over. The final state stays in the store when the job's record is
/// removed.
enum class FinalState : uint8_t { done, cancelled };

/// The fields of a job's record other than the job's specification.
struct JobRecordState {
  uint32_t chunk_size = 1;    // tasks per chunk
  uint32_t chunk_layout = 0;  // number of times that the job was rechunked
  bool cancelled = false;
  double cancelled_at = 0;  // seconds since the epoch; 0: not in the record
};

}  // namespace damsonport
