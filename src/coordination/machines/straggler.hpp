/// Detection of stragglers after Algorithm 1 of "Resource Elasticity in Distributed Deep Learning"
/// (section 5): a machine stands for the paper's worker, a successful task for its step. Pure.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/tuning.hpp"
#include "coordination/machines/machine.hpp"

namespace damsonport {

/// Run times of the successful tasks of one job, as one controller saw them.
class RunTimes {
 public:
  /// Adds a run time in seconds. Yields the relative speed median / run time, or nothing before
  /// there are `min_successes` run times.
  std::optional<double> add(double run_s, int min_successes);

 private:
  std::vector<double> sorted_;
};

/// Updates the machine's moving average with a relative speed from RunTimes::add(). True if
/// this update made the machine a straggler.
[[nodiscard]] bool update_straggler_state(StragglerState& state, double relative_speed,
                                          const Tuning& tuning);

/// Detects stragglers from the run times of successful tasks. Owned by the shard leader, for the
/// time of one lease.
class StragglerDetector {
 public:
  explicit StragglerDetector(const Tuning& tuning) : tuning_(tuning) {}
  /// A task of the job succeeded after this time on the machine with this average. True if that
  /// made the machine a straggler.
  [[nodiscard]] bool note_success(const std::string& job, double run_s, StragglerState& state);
  void forget_job(const std::string& job) { run_times_.erase(job); }
  void clear() { run_times_.clear(); }

 private:
  const Tuning& tuning_;
  std::unordered_map<std::string, RunTimes> run_times_;  // by job
};

}  // namespace damsonport
