/// Detects stragglers, machines that are slower than the others, with Algorithm 1 of "Resource
/// Elasticity in Distributed Deep Learning" (section 5). A machine corresponds to a worker of the
/// paper, and a successful task to a step. Pure.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/tuning.hpp"
#include "coordination/machines/machine.hpp"

namespace damsonport {

/// Run times of the successful tasks of one job, as observed by one controller.
class RunTimes {
 public:
  /// Adds a run time in seconds. Returns the relative speed of the task, median / run time, or
  /// nullopt as long as there are fewer than `min_successes` run times.
  std::optional<double> add(double run_s, int min_successes);

 private:
  std::vector<double> sorted_;
};

/// Adds a relative speed from RunTimes::add() to the machine's moving average. Returns true if this
/// update made the machine a straggler.
[[nodiscard]] bool update_straggler_state(StragglerState& state, double relative_speed,
                                          const Tuning& tuning);

/// Detects stragglers from the run times of successful tasks. Owned by the shard leader, for the
/// duration of one lease.
class StragglerDetector {
 public:
  explicit StragglerDetector(const Tuning& tuning) : tuning_(tuning) {}
  /// Records that a task of the job succeeded after `run_s` seconds on the machine of `state`.
  /// Returns true if that made the machine a straggler.
  [[nodiscard]] bool note_success(const std::string& job, double run_s, StragglerState& state);
  void forget_job(const std::string& job) { run_times_.erase(job); }
  void clear() { run_times_.clear(); }

 private:
  const Tuning& tuning_;
  std::unordered_map<std::string, RunTimes> run_times_;  // by job
};

}  // namespace damsonport
