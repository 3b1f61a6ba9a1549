#include "coordination/machines/straggler.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// A job's median is settled long before this many; more would only cost memory.
constexpr size_t max_kept = 512;
}  // namespace

std::optional<double> RunTimes::add(double run_s, int min_successes) {
  if (sorted_.size() < max_kept)
    sorted_.insert(std::upper_bound(sorted_.begin(), sorted_.end(), run_s), run_s);
  if (sorted_.size() < static_cast<size_t>(min_successes)) return std::nullopt;
  size_t n = sorted_.size();
  double median = n % 2 ? sorted_[n / 2] : (sorted_[n / 2 - 1] + sorted_[n / 2]) / 2;
  return median / run_s;
}

bool fold(StragglerAverage& s, double fraction, const Tuning& tuning) {
  s.average = tuning.straggler_alpha * fraction + (1 - tuning.straggler_alpha) * s.average;
  if (++s.updates % tuning.straggler_test_every != 0) return false;
  bool was = s.flagged;
  s.flagged = s.average < tuning.straggler_bar;
  return s.flagged && !was;
}

bool StragglerDetector::note_success(const std::string& job, double run_s,
                                     StragglerAverage& average) {
  const auto fraction = run_times_[job].add(run_s, tuning_.straggler_min_successes);
  return fraction && fold(average, *fraction, tuning_);
}

}  // namespace damsonport
