/// Cost of the machines since the shard lease began, by machine kind and by use. Does no I/O and
/// reads no clock: the caller passes in the time and the prices.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/autoscaling/autoscaler.hpp"

namespace damsonport {

/// An amount of money, or of money per hour, split by the use of the machines.
struct Cost {
  double booting = 0;  ///< machines that are not up yet
  double in_use = 0;   ///< share of the machines that tasks occupy
  double idle = 0;     ///< remaining share of the machines
  double total() const { return booting + in_use + idle; }
};

/// Returns the share of the machine's most used resource (CPUs, accelerators or memory) that its
/// tasks occupy, from 0 to 1.
double utilisation(const autoscaling::MachineState& machine);

/// Adds up the cost of the machines over one shard lease. The AutoscalerDriver owns the account and
/// charges the machines to it on each run.
class CostAccount {
 public:
  /// Cost of the machines of one kind.
  struct KindCost {
    size_t machines = 0;  ///< number of machines at the last charge
    Cost hourly;          ///< cost per hour at the last charge
    Cost spent;           ///< cost since the lease began
  };

  /// Resets the account for a shard lease that begins at `now`.
  void begin_lease(double now);
  /// Charges the time since the last call (or the begin of the lease) for these machines, at the
  /// prices of `types`.
  void charge(const std::vector<autoscaling::MachineState>& machines,
              const std::vector<MachineType>& types, double now);
  /// Returns a log line with the costs, or nothing if the last report was less than `every_s`
  /// seconds ago.
  std::optional<std::string> report(double now, double every_s);

  /// Cost of all machines since the lease began.
  const Cost& spent() const { return spent_; }
  /// Costs by machine kind, as of the last charge. Each key is a text such as "TYPE in ZONE
  /// (spot)". A kind without machines keeps the cost that it has caused.
  const std::map<std::string, KindCost>& kinds() const { return kinds_; }

 private:
  double began_at_ = 0;
  double charged_until_ = 0;
  double next_report_at_ = 0;
  Cost spent_, hourly_;
  std::map<std::string, KindCost> kinds_;
};

}  // namespace damsonport
