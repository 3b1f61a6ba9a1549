// What controllers tell one another: hints only, never truth.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/frame.hpp"

namespace damsonport {

struct PeerHeartbeat {
  std::string controller;
  uint64_t incarnation = 0;
  uint64_t state_age_ms = 0;  // since the last contact with the state service
  uint64_t waiting = 0;       // tasks waiting, for the sizing of blocks
  bool loaded = false;
  uint64_t misrouted_machines = 0;  // machines of another holder that come here
  uint64_t writes = 0;              // wanted of the state service, for the sharing of its limit
  uint64_t fencing_token = 0;       // of the grant it holds; 0: none

  // For one receiver: so that it knows, on its own clock, as of when it was told all.
  uint64_t sent_ms = 0;           // the sender's steady clock
  uint64_t echo_incarnation = 0;  // the receiver's life, and
  uint64_t echo_ms = 0;           // its newest sent_ms that the sender has
  uint64_t have = 0;              // the receiver's cancellations up to this serial have come
  // Cancellations that the sender knows of and whose tasks may not be gone: those after `from` up
  // to `upto` are in this heartbeat; `last` is the newest of all.
  uint64_t from = 0, upto = 0, last = 0;
  struct Cancellation {
    std::string job;
    uint64_t age_ms = 0;
  };
  std::vector<Cancellation> cancelled;
};
std::string encode_peer_heartbeat(const PeerHeartbeat& b);  // framed
// Takes one framed heartbeat off the front; `used` bytes were consumed when whole. What a later
// version adds at the end is passed over.
Framed decode_peer_heartbeat(std::string_view in, PeerHeartbeat& out, size_t& used);

}  // namespace damsonport
