#include "transport/warning_limiter.hpp"

#include <algorithm>
#include <utility>

namespace damsonport {

std::optional<uint64_t> WarningLimiter::record(const std::string& words, double now) {
  if (words != words_) {
    words_ = words;
    count_ = 0;
    interval_s_ = first_interval_s;
    next_ = now + interval_s_;
    return 1;
  }
  ++count_;
  if (now < next_) return std::nullopt;
  interval_s_ = std::min(interval_s_ * 2, longest_interval_s);
  next_ = now + interval_s_;
  return std::exchange(count_, 0);
}

}  // namespace damsonport
