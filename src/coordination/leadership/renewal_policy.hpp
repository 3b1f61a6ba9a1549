/// Decides whether a controller may answer a machine's heartbeat, and so renew its worker's lease.
/// Pure.
#pragma once
#include <cstdint>

namespace damsonport {

/// The state of a controller when it receives a heartbeat, either from a machine that it leads or
/// from one that another controller leads.
struct RenewalState {
  bool reaches_store = false;       // this controller reaches the key-value store
  bool peer_reaches_store = false;  // some live peer reaches the key-value store
  bool is_isolated = false;         // no peer is reachable
  bool is_first_heartbeat = false;  // the machine's first heartbeat here for some time
  double staleness_s = 0;           // greatest age of a cancellation that is unknown here
};

/// Whether to renew the worker's lease or to send the machine to another controller.
enum class RenewalDecision : uint8_t { renew, redirect };

/// The exclusive upper bound on `staleness_s`, in seconds. An answer keeps a task alive for another
/// worker's lease (`lease_s`), and a cancelled task must be gone within `cancel_s` of the
/// cancellation.
double staleness_bound_s(double cancel_s, double lease_s);

/// Decides on a heartbeat that is received in this state. Always redirects if the staleness has
/// reached `bound_s`.
RenewalDecision decide_renewal(const RenewalState& state, double bound_s);

}  // namespace damsonport
