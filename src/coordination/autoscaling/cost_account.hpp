// What the rented machines cost and what for: an account of one holder's term, by kind of machine.
// Time and prices are passed in.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/autoscaling/autoscaler.hpp"

namespace damsonport {

// Money, or money an hour, by what the machine does meanwhile.
struct Cost {
  double booting = 0;  // not up yet
  double in_use = 0;   // the share of a machine that its tasks occupy
  double idle = 0;     // the rest
  double total() const { return booting + in_use + idle; }
};

// The largest share of a machine's CPUs, accelerators or memory that its tasks occupy.
double utilisation(const autoscaling::MachineState& machine);

class CostAccount {
 public:
  // Forgets what was charged before.
  void begin_lease(double now);
  // Charges the time since the last call for the machines that are there now, at these prices.
  void charge(const std::vector<autoscaling::MachineState>& machines,
              const std::vector<MachineType>& types, double now);
  // A line for the log, when one is due; its times are `every_s` apart.
  std::optional<std::string> report(double now, double every_s);
  // Since the term began.
  const Cost& spent() const { return spent_; }
  // Of all machines at the last call, by type, zone and kind.
  struct KindCost {
    size_t machines = 0, booting = 0;
    Cost hourly, spent;
  };
  const std::map<std::string, KindCost>& kinds() const { return kinds_; }

 private:
  double began_at_ = 0, charged_until_ = 0, next_report_ = 0;
  Cost spent_, hourly_;
  std::map<std::string, KindCost> kinds_;
};

}  // namespace damsonport
