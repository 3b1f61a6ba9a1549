/// The heartbeat between the controllers of a region. All of it is a hint, except what orders and
/// acknowledges the cancellations.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/frame.hpp"

namespace damsonport {

struct PeerHeartbeat {
  std::string controller;           ///< name of the sender
  uint64_t incarnation = 0;         ///< of the sender: another one after each start
  uint64_t state_age_ms = 0;        ///< since its last contact with the key-value store
  uint64_t pending_tasks = 0;       ///< pending tasks, for the sizes of the shards
  bool records_loaded = false;      ///< it has read all records
  uint64_t misrouted_machines = 0;  ///< machines of other shard leaders that report to it
  uint64_t writes_per_s = 0;        ///< wanted of the key-value store per second
  uint64_t fencing_token = 0;       ///< of the lease that it holds; 0: none

  // For one receiver, so that it knows on its own clock as of when it was sent everything.
  uint64_t sent_ms = 0;           ///< the sender's steady clock
  uint64_t echo_incarnation = 0;  ///< the receiver's incarnation, as the sender knows it, and
  uint64_t echo_ms = 0;           ///< the newest sent_ms of it that the sender has
  uint64_t received_upto = 0;     ///< the sender has the receiver's cancellations up to this serial

  // Cancellations that the sender knows of and whose tasks may still exist: those after `from` up
  // to `upto` are in this heartbeat.
  uint64_t listed_after = 0;
  uint64_t listed_upto = 0;
  uint64_t newest_number = 0;  ///< serial of the newest cancellation of all
  struct Cancellation {
    std::string job;
    uint64_t age_ms = 0;  ///< since the cancellation, or more
  };
  std::vector<Cancellation> cancelled;
};

/// The framed heartbeat.
std::string encode_peer_heartbeat(const PeerHeartbeat& heartbeat);
/// Takes one framed heartbeat off the front of `in`; `used` bytes were consumed when whole. What a
/// later version adds at the end is ignored.
FrameStatus decode_peer_heartbeat(std::string_view in, PeerHeartbeat& out, size_t& used);

}  // namespace damsonport
