// How a region shares its budget of one team's limit with other regions. Pure; for one resource
// (CPUs or accelerators), in parts of the limit.
//
// Whatever is decided here, the limit holds: gifts are committed by the giver first and are never
// more than it can spare. The rules below only decide where the budget is of most use:
// - a region keeps what it uses, what its own waiting work needs, and its share of the guarantee;
// - it also keeps what it needed lately, so that budget doesn't go to and fro;
// - urgent work elsewhere goes before work here that isn't urgent, and before what was needed
// lately;
// - nothing that runs is stopped for another region.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace damsonport::quotas {

// One region's stand in one team's limit.
struct Standing {
  uint64_t quota = 0;
  uint64_t used = 0;         // by tasks in the records
  uint64_t guaranteed = 0;   // the region's share of the guarantee: never given
  uint64_t urgent_need = 0;  // of waiting work of an urgent rank
  uint64_t need = 0;         // of all waiting work, urgent or not
  uint64_t recent_peak = 0;  // of use and need together
  uint64_t smallest = 0;     // need of the smallest waiting task; 0: none waits
};

// What could be given for urgent work and for any work elsewhere; the second is part of the first.
struct Surplus {
  uint64_t urgent = 0, any = 0;
};
// `yields`: of two regions that each hold too little for their smallest waiting task, this one
// gives way to the other.
Surplus surplus(const Standing& standing, bool defers);

// What waits beyond the budget.
struct Deficit {
  uint64_t urgent = 0, any = 0;  // the first is part of the second
};
Deficit deficit(const Standing& standing);

// What is asked of one region, from the spare that it told of.
struct QuotaRequest {
  uint64_t urgent = 0, any = 0;  // the first is part of the second
};
// Asks those first that can spare most. Nothing is asked twice, and nobody for more than it told.
std::vector<QuotaRequest> divide_requests(const Deficit& deficit, const std::vector<Surplus>& told);

// Parts to give to a region that asks. `on_the_way`: given before and not yet acknowledged.
uint64_t decide_transfer(const Surplus& surplus, const QuotaRequest& request, uint64_t on_the_way);

// The most that was seen over a period, give or take half of it.
class RecentPeak {
 public:
  void note(uint64_t value, double now, double period_s);
  uint64_t value() const { return current_ > previous_ ? current_ : previous_; }

 private:
  uint64_t current_ = 0, previous_ = 0;
  double begun_ = 0;
};

}  // namespace damsonport::quotas
