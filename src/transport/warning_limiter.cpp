#include "transport/warning_limiter.hpp"

#include <algorithm>
#include <utility>

namespace damsonport {

std::optional<uint64_t> WarningLimiter::record(const std::string& text, double now) {
  if (text != text_) {
    text_ = text;
    unlogged_count_ = 0;
    interval_s_ = first_interval_s;
    next_log_at_ = now + interval_s_;
    return 1;
  }
  ++unlogged_count_;
  if (now < next_log_at_) return std::nullopt;
  interval_s_ = std::min(interval_s_ * 2, longest_interval_s);
  next_log_at_ = now + interval_s_;
  return std::exchange(unlogged_count_, 0);
}

}  // namespace damsonport
