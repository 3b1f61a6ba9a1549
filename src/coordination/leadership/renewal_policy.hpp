/// Which controller may answer a machine's heartbeat, and so renew its worker's lease. Pure.
#pragma once
#include <cstdint>

namespace damsonport {

/// What a controller knows when a machine sends it a heartbeat, its own or another one's machine.
struct RenewalState {
  bool reaches_store = false;       // the key-value store
  bool peer_reaches_store = false;  // some live peer does
  bool is_isolated = false;         // no peer is reachable
  bool is_first_heartbeat = false;  // the machine comes here for the first time of late
  double staleness_s = 0;           // how old a cancellation can be that is unknown here
};

enum class RenewalDecision : uint8_t { renew, redirect };

/// The bound on `staleness_s`: a task that is kept alive lives a worker's lease (`lease_s`) longer
/// than the last answer, and when it is cancelled it must be gone within `cancel_s`.
double staleness_bound_s(double cancel_s, double lease_s);

RenewalDecision decide_renewal(const RenewalState& state, double bound_s);

}  // namespace damsonport
