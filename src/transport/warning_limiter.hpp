// Keeps a warning that comes again and again from filling the log. Time is passed in.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace damsonport {

class WarningLimiter {
 public:
  // How often the warning has come since it was last logged, this time included, when it is to be
  // logged now: at once when its words change, and then at intervals that double up to a bound.
  std::optional<uint64_t> note(const std::string& words, double now);
  // What was warned of is over: the next warning is logged at once.
  void clear() { words_.clear(); }

 private:
  static constexpr double first_interval_s = 5, longest_interval_s = 320;
  std::string words_;
  double interval_s_ = 0, next_ = 0;
  uint64_t count_ = 0;
};

}  // namespace damsonport
