#include "coordination/leadership/renewal_policy.hpp"

namespace damsonport {

double staleness_bound_s(double cancel_s, double lease_s) {
  constexpr double usable_share = 0.85;  // the rest is for clocks and for messages under way
  return usable_share * (cancel_s - lease_s);
}

RenewalDecision decide_renewal(const RenewalState& state, double bound_s) {
  // Safety is this line alone; the others say where the machine is better off.
  if (state.staleness_s >= bound_s) return RenewalDecision::redirect;
  if (state.reaches_store) return RenewalDecision::renew;
  // Only we have lost the store: whoever still reaches it may be the shard leader by now.
  if (state.peer_reaches_store) return RenewalDecision::redirect;
  // Without store and peers we may be the one that is partitioned off, with a new shard leader
  // elsewhere: then the machine has to find it. One that comes back has found nobody.
  if (state.is_isolated && state.is_first_heartbeat) return RenewalDecision::redirect;
  return RenewalDecision::renew;
}

}  // namespace damsonport
