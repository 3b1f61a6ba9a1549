// Who may answer a machine's report, and so keep its tasks alive. Pure.
#pragma once
#include <cstdint>

namespace damsonport {

// What a controller knows when a machine reports to it, its own or another holder's.
struct RenewalState {
  bool in_contact = false;       // with the state service
  bool peer_in_contact = false;  // a live peer is
  bool alone = false;            // no peer is heard
  bool first_visit = false;      // the machine comes here for the first time of late
  double staleness_s = 0;  // no cancellation that is unknown here was told to anyone longer ago
};
enum class RenewalDecision : uint8_t { renew, redirect };

// How long a machine may be answered while a cancellation may be unknown: a task that is kept alive
// lives a lease longer than the last answer, and must be gone within cancel_s.
double staleness_bound_s(double cancel_s, double lease_s);

RenewalDecision decide_renewal(const RenewalState& s, double bound_s);

}  // namespace damsonport
