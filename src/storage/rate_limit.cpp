#include "storage/rate_limit.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// Stays a little under the published limit: clocks drift and both limits are shared.
constexpr double safety = 0.92;
// Of the writes, divided among all nodes whatever they want.
constexpr double in_any_case = 0.2;
// How long lowered rates are kept to after a refusal, at first and at the most.
constexpr double first_lowered_s = 30, longest_lowered_s = 600;
}  // namespace

RateLimiter::RateLimiter(Loop& loop, const StateLimitSettings& limits)
    : loop_(loop),
      limits_(limits),
      requests_(0),
      writes_(0),
      last_(loop.now()),
      timer_(loop.timer([](void* self) { static_cast<RateLimiter*>(self)->pump(); }, this)) {
  use(limits_.present());
}

void RateLimiter::use(const StateLimits& limits) {
  all_requests_ = limits.requests_per_s * safety;
  all_writes_ = limits.writes_per_s * safety;
  request_rate_ = all_requests_ * request_share_;
  write_rate_ = all_writes_ * write_share_;
}

void RateLimiter::refused() {
  if (lowered_until_ > 0) return;
  refill();
  lowered_for_s_ = std::clamp(lowered_for_s_ * 2, first_lowered_s, longest_lowered_s);
  lowered_until_ = loop_.now() + lowered_for_s_;
  use(limits_.always());
}

void RateLimiter::try_present_again() {
  if (lowered_until_ == 0 || loop_.now() < lowered_until_) return;
  lowered_until_ = 0;
  use(limits_.present());
}

double write_share(int controllers, double wanted, double wanted_by_others) {
  const double least = in_any_case / std::max(controllers, 1);
  const double all = wanted + wanted_by_others;
  return least + (all > 0 ? (1 - in_any_case) * wanted / all : 0);
}

void RateLimiter::set_shares(double requests, double writes) {
  refill();
  try_present_again();
  request_share_ = requests;
  write_share_ = writes;
  request_rate_ = all_requests_ * requests;
  write_rate_ = all_writes_ * writes;
}

void RateLimiter::refill() {
  double now = loop_.now();
  // Bursts of one second's worth, as the service allows.
  requests_ = std::min(request_rate_, requests_ + (now - last_) * request_rate_);
  writes_ = std::min(write_rate_, writes_ + (now - last_) * write_rate_);
  last_ = now;
}

bool RateLimiter::spend(int writes) {
  // A transaction larger than the whole bucket goes when the bucket is full, on credit.
  if (requests_ < 1 || (writes > 0 && writes_ < std::min<double>(writes, write_rate_ * 0.99)))
    return false;
  requests_ -= 1;
  writes_ -= writes;
  return true;
}

void RateLimiter::pump() {
  refill();
  for (auto& queue : queues_) {
    while (!queue.empty()) {
      if (!spend(queue.front().writes)) return arm();
      auto next = queue.front().handle;
      queue.pop_front();
      next.resume();
    }
  }
}

void RateLimiter::arm() {
  double missing = std::max(1 - requests_, 0.0) / request_rate_;
  for (auto& queue : queues_) {
    if (queue.empty()) continue;
    double need = std::min<double>(queue.front().writes, write_rate_ * 0.99);
    missing = std::max(missing, (need - writes_) / write_rate_);
    break;
  }
  timer_->arm(std::clamp(missing, 0.002, 1.0));
}

bool RateLimiter::Turn::await_ready() {
  limit.refill();
  for (size_t i = 0; i <= static_cast<size_t>(importance); ++i)
    if (!limit.queues_[i].empty()) return false;
  return limit.spend(writes);
}

void RateLimiter::Turn::await_suspend(std::coroutine_handle<> h) {
  limit.queues_[static_cast<size_t>(importance)].push_back({h, writes});
  limit.arm();
}

}  // namespace damsonport
