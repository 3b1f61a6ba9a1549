/// Limits how often a repeated warning is logged. Does no I/O; the caller passes in the time.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace damsonport {

/// Limits the log rate of one kind of warning.
class WarningLimiter {
 public:
  /// Records a warning at the time `now`, in seconds. If the warning should be logged now, returns
  /// how often it has occurred since it was last logged, including this time. A warning with a new
  /// text is logged at once; a repeated warning is logged at intervals that double up to a limit.
  std::optional<uint64_t> record(const std::string& text, double now);
  /// Resets the limiter when the cause of the warning is gone, so that the next warning is logged
  /// at once.
  void clear() { text_.clear(); }

 private:
  static constexpr double first_interval_s = 5, longest_interval_s = 320;
  std::string text_;
  double interval_s_ = 0, next_log_at_ = 0;
  uint64_t unlogged_count_ = 0;  // warnings since the last log line
};

}  // namespace damsonport
