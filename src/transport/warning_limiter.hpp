/// Keeps a repeated warning from filling the log. Pure: the time is passed in.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace damsonport {

/// Limits one kind of warning.
class WarningLimiter {
 public:
  /// Counts a warning at `now`, in seconds. Where it is to be logged now, yields how often it has
  /// occurred since it was last logged, this time included. It is logged at once when its text
  /// changes, and then at intervals that double up to a bound.
  std::optional<uint64_t> record(const std::string& text, double now);
  /// The cause is over: the next warning is logged at once.
  void clear() { text_.clear(); }

 private:
  static constexpr double first_interval_s = 5, longest_interval_s = 320;
  std::string text_;
  double interval_s_ = 0, next_log_at_ = 0;
  uint64_t unlogged_count_ = 0;  // since it was last logged
};

}  // namespace damsonport
