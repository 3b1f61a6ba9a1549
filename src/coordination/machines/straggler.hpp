// Stragglers after Algorithm 1 of "Resource Elasticity in Distributed Deep Learning" (section 5):
// a machine stands for the paper's worker, a successful finish for its step.
#pragma once
#include <vector>

#include "config/tuning.hpp"
#include "coordination/machines/machine.hpp"

namespace damsonport {

// Run times of one job's successes, as one controller saw them.
class RunTimes {
 public:
  // Takes a run time; yields the fraction median / run time once there are enough successes.
  std::optional<double> add(double run_s, int min_successes);

 private:
  std::vector<double> sorted_;
};

// Folds a fraction in; true when this update made the machine a straggler.
bool fold(StragglerAverage& s, double fraction, const Tuning& tuning);

}  // namespace damsonport
