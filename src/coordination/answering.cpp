#include "coordination/answering.hpp"

namespace damsonport {

double unheard_bound(double cancel_s, double lease_s) {
  constexpr double margin = 0.85;  // the rest is for clocks and for what is under way
  return margin * (cancel_s - lease_s);
}

Answer answer_to(const Standing& s, double bound_s) {
  // Safety is this line alone; the others say where the machine is better off.
  if (s.unheard_s >= bound_s) return Answer::send_on;
  if (s.in_contact) return Answer::renew;
  // Alone without the state service: whoever still has it may be the holder by now.
  if (s.peer_in_contact) return Answer::send_on;
  // Without state service and peers we may be the one that is cut off, with a new holder elsewhere:
  // then the machine is to find it. One that comes back has found nobody.
  if (s.alone && s.first_visit) return Answer::send_on;
  return Answer::renew;
}

}  // namespace damsonport
