/// Estimates how many events arrive per second. Pure: the caller passes in the time.
#pragma once
#include <cmath>

namespace damsonport {

/// Exponentially weighted moving average of the arrival rate. The weight of an event falls to 1/e
/// within one window.
class ArrivalRate {
 public:
  /// `window_s`: the averaging window in seconds.
  explicit ArrivalRate(double window_s) : window_s_(window_s) {}

  /// Counts one event at `now`, in seconds of a steady clock; `now` must not decrease.
  void note(double now) {
    per_s_ = at(now) + 1 / window_s_;
    noted_at_ = now;
  }

  /// Estimated events per second at `now`.
  double at(double now) const { return per_s_ * std::exp((noted_at_ - now) / window_s_); }

 private:
  double window_s_;
  double per_s_ = 0;
  double noted_at_ = 0;
};

}  // namespace damsonport
