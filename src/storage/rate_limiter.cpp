#include "storage/rate_limiter.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// Stays a little under the published limits: clocks drift, and the limits are shared.
constexpr double used_share = 0.92;
// Of the writes, divided equally among all controllers.
constexpr double equal_share = 0.2;
// How long lowered rates are kept to after a refusal, at first and at the most.
constexpr double first_lowered_s = 30;
constexpr double longest_lowered_s = 600;
// A transaction larger than the whole bucket is sent when the bucket is nearly full, on credit.
constexpr double full_bucket_share = 0.99;
// Bounds on the wait until the waiters are looked at again.
constexpr double shortest_wait_s = 0.002;
constexpr double longest_wait_s = 1.0;
}  // namespace

double write_share(int controllers, double wanted, double wanted_by_others) {
  const double least = equal_share / std::max(controllers, 1);
  const double all = wanted + wanted_by_others;
  return least + (all > 0 ? (1 - equal_share) * wanted / all : 0);
}

RateLimiter::RateLimiter(Loop& loop, const StateLimitSettings& limits)
    : loop_(loop),
      limits_(limits),
      refilled_at_(loop.now()),
      timer_(
          loop.timer([](void* self) { static_cast<RateLimiter*>(self)->serve_waiters(); }, this)) {
  use(limits_.present());
}

void RateLimiter::use(const StateLimits& limits) {
  all_requests_per_s_ = limits.requests_per_s * used_share;
  all_writes_per_s_ = limits.writes_per_s * used_share;
  apply_shares();
}

void RateLimiter::apply_shares() {
  request_rate_ = all_requests_per_s_ * request_share_;
  write_rate_ = all_writes_per_s_ * write_share_;
}

void RateLimiter::on_refused() {
  if (lowered_until_) return;
  refill();
  lowered_for_s_ = std::clamp(lowered_for_s_ * 2, first_lowered_s, longest_lowered_s);
  lowered_until_ = loop_.now() + lowered_for_s_;
  use(limits_.always());
}

void RateLimiter::try_present_limits() {
  if (!lowered_until_ || loop_.now() < *lowered_until_) return;
  lowered_until_.reset();
  use(limits_.present());
}

void RateLimiter::set_shares(double requests, double writes) {
  refill();
  try_present_limits();
  request_share_ = requests;
  write_share_ = writes;
  apply_shares();
}

void RateLimiter::refill() {
  const double now = loop_.now();
  const double passed_s = now - refilled_at_;
  // Bursts of one second's worth, as the store allows.
  requests_ = std::min(request_rate_, requests_ + passed_s * request_rate_);
  writes_ = std::min(write_rate_, writes_ + passed_s * write_rate_);
  refilled_at_ = now;
}

double RateLimiter::required_writes(int writes) const {
  return std::min<double>(writes, write_rate_ * full_bucket_share);
}

bool RateLimiter::try_spend(int writes) {
  if (requests_ < 1) return false;
  if (writes > 0 && writes_ < required_writes(writes)) return false;
  requests_ -= 1;
  writes_ -= writes;
  return true;
}

void RateLimiter::serve_waiters() {
  refill();
  for (auto& queue : queues_) {
    while (!queue.empty()) {
      if (!try_spend(queue.front().writes)) return arm_timer();
      auto waiter = queue.front().handle;
      queue.pop_front();
      waiter.resume();
    }
  }
}

void RateLimiter::arm_timer() {
  double wait_s = std::max(1 - requests_, 0.0) / request_rate_;
  const auto first = std::find_if(queues_.begin(), queues_.end(),
                                  [](const auto& queue) { return !queue.empty(); });
  if (first != queues_.end()) {
    const double required = required_writes(first->front().writes);
    wait_s = std::max(wait_s, (required - writes_) / write_rate_);
  }
  timer_->arm(std::clamp(wait_s, shortest_wait_s, longest_wait_s));
}

bool RateLimiter::Permit::await_ready() {
  limiter.refill();
  for (size_t i = 0; i <= static_cast<size_t>(priority); ++i)
    if (!limiter.queues_[i].empty()) return false;
  return limiter.try_spend(writes);
}

void RateLimiter::Permit::await_suspend(std::coroutine_handle<> waiter) {
  limiter.queues_[static_cast<size_t>(priority)].push_back({waiter, writes});
  limiter.arm_timer();
}

}  // namespace damsonport
