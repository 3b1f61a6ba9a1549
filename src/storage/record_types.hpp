/// The records that the controllers of a cluster share, apart from jobs and their chunks.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace damsonport {

/// The right of one controller to schedule on machines and to answer them.
struct ShardLease {
  std::string controller;
  uint64_t incarnation = 0;
  uint64_t fencing_token = 0;         // workers follow the highest one they have learned
  std::vector<std::string> machines;  // the machines of the shard
  bool covers_unassigned = false;     // and every machine and team that no other lease names
};

/// All leases, in one record.
struct ShardTable {
  std::vector<ShardLease> leases;
  uint64_t renewals = 0;  // grows with every write of the record
};

/// The cluster leader. The record is attached to a lease of the key-value store.
struct LeaderRecord {
  std::string controller;
  uint64_t incarnation = 0;
};

/// A task's exit that a machine reported to a controller other than its shard leader.
struct ForwardedExit {
  std::string machine;
  TaskId task;
  uint64_t attempt = 0;
  ExitCause cause = ExitCause::none;  // stored as its number
  auto operator<=>(const ForwardedExit&) const = default;
};

/// The exits that one controller has recorded for the shard leader.
struct ForwardedExits {
  uint64_t fencing_token = 0;  // the one that the machines had learned
  std::vector<ForwardedExit> exits;
};

/// What remains of a job that is over.
enum class FinalState : uint8_t { done, cancelled };

/// What a job's record holds beside the job's specification.
struct JobRecordState {
  uint32_t chunk_size = 1;
  uint32_t chunk_layout = 0;
  bool cancelled = false;
  double cancelled_at = 0;  // seconds since the epoch; 0 where the record doesn't say
};

}  // namespace damsonport
