// How many requests a second arrive of late. Pure: time is passed in.
#pragma once
#include <cmath>

namespace damsonport {

// An exponentially weighted average: what is older than the window counts little.
class ArrivalRate {
 public:
  explicit ArrivalRate(double window_s) : window_s_(window_s) {}
  void note(double now) {
    per_s_ = at(now) + 1 / window_s_;
    noted_at_ = now;
  }
  double at(double now) const { return per_s_ * std::exp((noted_at_ - now) / window_s_); }

 private:
  double window_s_;
  double per_s_ = 0;
  double noted_at_ = 0;
};

}  // namespace damsonport
