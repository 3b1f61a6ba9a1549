/// How many writes to the key-value store the users of one controller ask for.
#pragma once
#include <cstddef>
#include <utility>

#include "coordination/api/arrival_rate.hpp"

namespace damsonport {

/// Estimates the writes that users want within the next second, for the division of the store's
/// limit among the controllers. Pure: the time is passed in.
class WriteDemand {
 public:
  explicit WriteDemand(double window_s) : arrivals_(window_s) {}

  /// A submission or cancellation arrived that needs a write.
  void note_arrival(double now) { arrivals_.note(now); }
  /// A submission was rejected for want of writes; its user comes back soon.
  void note_rejection() { ++rejected_in_period_; }
  /// Begins a period: the rejections of the last one still count within it, older ones don't.
  void begin_period() { rejected_in_last_period_ = std::exchange(rejected_in_period_, 0); }

  /// Rejected in this period and the one before it.
  size_t rejected() const { return rejected_in_last_period_ + rejected_in_period_; }
  /// `pending`: submissions that wait for their write. By these alone a controller would get its
  /// share only once its users wait, so the arrivals count too.
  double estimate(size_t pending, double now) const {
    return static_cast<double>(pending + rejected_in_last_period_) +
           arrival_headroom * arrivals_.at(now);
  }

 private:
  /// Writes wanted for each one that arrives: users come in bursts.
  static constexpr double arrival_headroom = 2;

  ArrivalRate arrivals_;
  size_t rejected_in_last_period_ = 0;
  size_t rejected_in_period_ = 0;
};

}  // namespace damsonport
