#include "coordination/leadership/renewal_policy.hpp"

namespace damsonport {

double staleness_bound_s(double cancel_s, double lease_s) {
  constexpr double margin = 0.85;  // the rest is for clocks and for what is under way
  return margin * (cancel_s - lease_s);
}

RenewalDecision decide_renewal(const RenewalState& s, double bound_s) {
  // Safety is this line alone; the others say where the machine is better off.
  if (s.staleness_s >= bound_s) return RenewalDecision::redirect;
  if (s.in_contact) return RenewalDecision::renew;
  // Alone without the state service: whoever still has it may be the holder by now.
  if (s.peer_in_contact) return RenewalDecision::redirect;
  // Without state service and peers we may be the one that is cut off, with a new holder elsewhere:
  // then the machine is to find it. One that comes back has found nobody.
  if (s.alone && s.first_visit) return RenewalDecision::redirect;
  return RenewalDecision::renew;
}

}  // namespace damsonport
