/// The heartbeat between the controllers of a region. Its contents are hints, except for the fields
/// that order and acknowledge cancellations.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/frame.hpp"

namespace damsonport {

/// Heartbeat from one controller to one peer.
struct PeerHeartbeat {
  std::string controller;       ///< name of the sender
  uint64_t incarnation = 0;     ///< random id of the sender's process; changes with each start
  uint64_t state_age_ms = 0;    ///< time since the sender's last contact with the key-value store
  uint64_t pending_tasks = 0;   ///< pending tasks of the sender's shard, used to size the shards
  bool records_loaded = false;  ///< whether the sender has loaded all records
  uint64_t misrouted_machines = 0;  ///< machines of other shards whose workers contact the sender
  uint64_t writes_per_s = 0;        ///< write rate that the sender needs from the key-value store
  uint64_t fencing_token = 0;       ///< token of the shard lease that the sender holds; 0: none

  // Fields for one receiver. From the echo of its own clock, the receiver determines a time before
  // which every cancellation that was sent to it has arrived.
  uint64_t sent_ms = 0;           ///< time of sending on the sender's steady clock
  uint64_t echo_incarnation = 0;  ///< incarnation of the receiver to which `echo_ms` belongs
  uint64_t echo_ms = 0;           ///< newest `sent_ms` that the sender got from the receiver
  uint64_t received_upto = 0;     ///< acknowledges the receiver's cancellations up to this number

  // Cancellations that the sender has read in the records, for some time also those of jobs that
  // have ended, and without contact to the store those that it has received. Each sender numbers
  // them, and anew when the machines of the job change. `cancelled` lists those with numbers
  // greater than `listed_after` and up to `listed_upto`.
  uint64_t listed_after = 0;
  uint64_t listed_upto = 0;
  uint64_t newest_number = 0;  ///< number of the sender's newest cancellation
  /// Machines to which the sender's records, or those of other controllers, assign live tasks of a
  /// cancelled job.
  struct JobMachines {
    /// False: the list may lack machines. True: the job's tasks on a machine that the sender listed
    /// earlier and no longer lists have ended.
    bool complete = false;
    std::vector<std::string> machines;
  };
  /// Cancellation of one job.
  struct Cancellation {
    std::string job;
    uint64_t age_ms = 0;  ///< upper bound of the time since the cancellation
    /// Not set if the sender knows nothing of the machines, or is of an earlier version.
    std::optional<JobMachines> machines = std::nullopt;
  };
  std::vector<Cancellation> cancelled;
};

/// Encodes the heartbeat as a frame.
std::string encode_peer_heartbeat(const PeerHeartbeat& heartbeat);
/// Decodes the framed heartbeat at the front of `in`. If the frame is complete, sets `used` to the
/// number of its bytes. Fields that a later version appends are ignored; a heartbeat of an earlier
/// version is malformed. The machines of cancelled jobs are an appended field: they are left out if
/// none is set, and not set if they can't be read.
FrameStatus decode_peer_heartbeat(std::string_view in, PeerHeartbeat& out, size_t& used);

}  // namespace damsonport
