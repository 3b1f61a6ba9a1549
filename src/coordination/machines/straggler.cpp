#include "coordination/machines/straggler.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// A job's median is stable long before this number of run times; more would only use memory.
constexpr size_t max_run_times = 512;
}  // namespace

std::optional<double> RunTimes::add(double run_s, int min_successes) {
  if (sorted_.size() < max_run_times)
    sorted_.insert(std::upper_bound(sorted_.begin(), sorted_.end(), run_s), run_s);
  if (sorted_.size() < static_cast<size_t>(min_successes)) return std::nullopt;
  size_t n = sorted_.size();
  double median = n % 2 ? sorted_[n / 2] : (sorted_[n / 2 - 1] + sorted_[n / 2]) / 2;
  return median / run_s;
}

bool update_straggler_state(StragglerState& state, double relative_speed, const Tuning& tuning) {
  state.average =
      tuning.straggler_alpha * relative_speed + (1 - tuning.straggler_alpha) * state.average;
  if (++state.updates % tuning.straggler_check_interval != 0) return false;
  bool was_flagged = state.flagged;
  state.flagged = state.average < tuning.straggler_threshold;
  return state.flagged && !was_flagged;
}

bool StragglerDetector::note_success(const std::string& job, double run_s, StragglerState& state) {
  const auto relative_speed = run_times_[job].add(run_s, tuning_.straggler_min_successes);
  return relative_speed && update_straggler_state(state, *relative_speed, tuning_);
}

}  // namespace damsonport
