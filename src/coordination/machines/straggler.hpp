/// Detection of stragglers after Algorithm 1 of "Resource Elasticity in Distributed Deep Learning"
/// (section 5): a machine stands for the paper's worker, a successful task for its step. Pure.
#pragma once
#include <vector>

#include "config/tuning.hpp"
#include "coordination/machines/machine.hpp"

namespace damsonport {

/// Run times of the successful tasks of one job, as one controller saw them.
class RunTimes {
 public:
  /// Adds a run time in seconds. Yields the fraction median / run time, or nothing before there are
  /// `min_successes` run times.
  std::optional<double> add(double run_s, int min_successes);

 private:
  std::vector<double> sorted_;
};

/// Updates the machine's moving average with a fraction from RunTimes::add(). True if this update
/// made the machine a straggler.
[[nodiscard]] bool fold(StragglerAverage& s, double fraction, const Tuning& tuning);

}  // namespace damsonport
