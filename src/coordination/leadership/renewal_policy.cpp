#include "coordination/leadership/renewal_policy.hpp"

namespace damsonport {

double staleness_bound_s(double cancel_s, double lease_s) {
  constexpr double usable_share = 0.85;  // the rest allows for clock errors and messages in flight
  return usable_share * (cancel_s - lease_s);
}

RenewalDecision decide_renewal(const RenewalState& state, double bound_s) {
  // Only this condition is needed for safety. The others choose where the machine is served better.
  if (state.staleness_s >= bound_s) return RenewalDecision::redirect;
  if (state.reaches_store) return RenewalDecision::renew;
  // Only this controller has lost the store: one that still reaches it may lead the shard by now.
  if (state.peer_reaches_store) return RenewalDecision::redirect;
  // Without the store and without peers this controller may be the isolated one, with a new shard
  // leader elsewhere, which the machine has to find. A machine that returns here has not found one.
  if (state.is_isolated && state.is_first_heartbeat) return RenewalDecision::redirect;
  return RenewalDecision::renew;
}

}  // namespace damsonport
