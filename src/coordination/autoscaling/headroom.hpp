// The room to keep ready for work that has not come yet: from the arrivals of late and from what
// the room costs. Pure: all that counts is passed in.
#pragma once
#include <vector>

namespace damsonport::headroom {

// A job that was accepted lately.
struct Arrival {
  double age_s = 0;
  double amount = 0;  // accelerators or CPUs that its tasks take together
};

// What is likely to be asked for until a machine that is rented now is up: the mean of the arrivals
// over some boot times, and so many standard deviations, as if jobs came independently of one
// another. Arrivals older than those boot times don't count, except that they show for how long
// arrivals have been seen.
double expected_arrivals(const std::vector<Arrival>& arrivals, double boot_s, double spreads);

// The room of one kind, in accelerators or CPUs.
struct Pool {
  double in_use = 0;       // by unfinished work, or asked for by it
  double expected = 0;     // arrivals
  double unit_price = 0;   // of an accelerator or a CPU, an hour
  double fleet_price = 0;  // of all rented machines, an hour
};

// The spare room to keep: a share of what is in use, but no more than what is expected to arrive
// where it costs more than a share of the fleet's price.
double target_headroom(const Pool& pool, double headroom_share, double cheap_share);

}  // namespace damsonport::headroom
