/// What the machines cost and what for, by kind of machine, since the shard lease began. Pure: time
/// and prices are passed in.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/autoscaling/autoscaler.hpp"

namespace damsonport {

/// Money, or money an hour, by what the machine does meanwhile.
struct Cost {
  double booting = 0;  ///< Not up yet.
  double in_use = 0;   ///< The share of a machine that its tasks occupy.
  double idle = 0;     ///< The rest.
  double total() const { return booting + in_use + idle; }
};

/// The largest share of a machine's CPUs, accelerators or memory that its tasks occupy: 0 to 1.
double utilisation(const autoscaling::MachineState& machine);

/// Owned by the shard leader; charged each time the autoscaler runs.
class CostAccount {
 public:
  struct KindCost {
    size_t machines = 0;
    Cost hourly;
    Cost spent;
  };

  /// A shard lease begins at `now`: forgets what was charged before.
  void begin_lease(double now);
  /// Charges the time since the last call for the machines that are there now, at these prices.
  void charge(const std::vector<autoscaling::MachineState>& machines,
              const std::vector<MachineType>& types, double now);
  /// A line for the log; empty before `every_s` seconds have passed since the last one.
  std::optional<std::string> report(double now, double every_s);

  /// Since the lease began.
  const Cost& spent() const { return spent_; }
  /// As of the last charge, by type, zone and spot or on-demand; kinds without any machine left
  /// keep what they cost.
  const std::map<std::string, KindCost>& kinds() const { return kinds_; }

 private:
  double began_at_ = 0;
  double charged_until_ = 0;
  double next_report_at_ = 0;
  Cost spent_, hourly_;
  std::map<std::string, KindCost> kinds_;
};

}  // namespace damsonport
