/// Estimates how many writes to the key-value store the users of one controller need.
#pragma once
#include <cstddef>
#include <utility>

#include "coordination/api/arrival_rate.hpp"

namespace damsonport {

/// Estimates the writes that users need within the next second. The controllers divide the store's
/// write limit according to these estimates. Pure: the caller passes in the time.
class WriteDemand {
 public:
  /// `window_s`: averaging window of the arrival rate, s.
  explicit WriteDemand(double window_s) : arrivals_(window_s) {}

  /// Records the arrival of a submission or cancellation that needs a write.
  void note_arrival(double now) { arrivals_.note(now); }
  /// Records that a submission was rejected because of too few writes; its user will retry soon.
  void note_rejection() { ++rejected_in_period_; }
  /// Begins a period, in which the rejections of the previous period still count.
  void begin_period() { rejected_in_last_period_ = std::exchange(rejected_in_period_, 0); }

  /// Number of submissions rejected in this period and the previous one.
  size_t rejected() const { return rejected_in_last_period_ + rejected_in_period_; }
  /// Returns the estimated writes per second, given the number of `pending` submissions. The
  /// arrival rate is included because otherwise a controller would get its share of the limit only
  /// after its users have started to wait.
  double estimate(size_t pending, double now) const {
    return static_cast<double>(pending + rejected_in_last_period_) +
           arrival_headroom * arrivals_.at(now);
  }

 private:
  /// Writes requested per arrival; more than one, because requests arrive in bursts.
  static constexpr double arrival_headroom = 2;

  ArrivalRate arrivals_;
  size_t rejected_in_last_period_ = 0;
  size_t rejected_in_period_ = 0;
};

}  // namespace damsonport
