#include "storage/rate_limiter.hpp"

#include <algorithm>

namespace damsonport {

namespace {
// Stays slightly below the published limits, because clocks drift and the limits are shared.
constexpr double limit_utilization = 0.92;
// Part of the write limit that is divided equally among all controllers.
constexpr double equal_write_share = 0.2;
// Period of lowered limits: after the first refusal, and at most.
constexpr double initial_lowered_s = 30;
constexpr double max_lowered_s = 600;
// A transaction with more writes than the bucket holds is sent when the bucket is filled to this
// share. The bucket then goes negative.
constexpr double full_bucket_share = 0.99;
// Bounds on the delay until the waiters are checked again.
constexpr double min_wait_s = 0.002;
constexpr double max_wait_s = 1.0;
}  // namespace

double write_share(int controllers, double wanted, double wanted_by_others) {
  const double least = equal_write_share / std::max(controllers, 1);
  const double all = wanted + wanted_by_others;
  return least + (all > 0 ? (1 - equal_write_share) * wanted / all : 0);
}

RateLimiter::RateLimiter(Loop& loop, const StateLimitSettings& limits)
    : loop_(loop),
      limits_(limits),
      refilled_at_(loop.now()),
      timer_(
          loop.timer([](void* self) { static_cast<RateLimiter*>(self)->resume_waiters(); }, this)) {
  apply_limits(limits_.present());
}

void RateLimiter::apply_limits(const StateLimits& limits) {
  store_requests_per_s_ = limits.requests_per_s * limit_utilization;
  store_writes_per_s_ = limits.writes_per_s * limit_utilization;
  apply_shares();
}

void RateLimiter::apply_shares() {
  requests_per_s_ = store_requests_per_s_ * request_share_;
  writes_per_s_ = store_writes_per_s_ * write_share_;
}

void RateLimiter::on_rate_limited() {
  if (lowered_until_) return;
  refill();
  lowered_duration_s_ = std::clamp(lowered_duration_s_ * 2, initial_lowered_s, max_lowered_s);
  lowered_until_ = loop_.now() + lowered_duration_s_;
  apply_limits(limits_.minimum());
}

void RateLimiter::restore_present_limits() {
  if (!lowered_until_ || loop_.now() < *lowered_until_) return;
  lowered_until_.reset();
  apply_limits(limits_.present());
}

void RateLimiter::set_shares(double requests, double writes) {
  refill();
  restore_present_limits();
  request_share_ = requests;
  write_share_ = writes;
  apply_shares();
}

void RateLimiter::refill() {
  const double now = loop_.now();
  const double passed_s = now - refilled_at_;
  // A bucket holds the tokens of one second, the burst that the store allows.
  request_tokens_ = std::min(requests_per_s_, request_tokens_ + passed_s * requests_per_s_);
  write_tokens_ = std::min(writes_per_s_, write_tokens_ + passed_s * writes_per_s_);
  refilled_at_ = now;
}

double RateLimiter::required_write_tokens(int writes) const {
  return std::min<double>(writes, writes_per_s_ * full_bucket_share);
}

bool RateLimiter::try_consume(int writes) {
  if (request_tokens_ < 1) return false;
  if (writes > 0 && write_tokens_ < required_write_tokens(writes)) return false;
  request_tokens_ -= 1;
  write_tokens_ -= writes;
  return true;
}

void RateLimiter::resume_waiters() {
  refill();
  for (auto& queue : queues_) {
    while (!queue.empty()) {
      if (!try_consume(queue.front().writes)) return arm_timer();
      auto waiter = queue.front().handle;
      queue.pop_front();
      waiter.resume();
    }
  }
}

void RateLimiter::arm_timer() {
  double wait_s = std::max(1 - request_tokens_, 0.0) / requests_per_s_;
  const auto first = std::find_if(queues_.begin(), queues_.end(),
                                  [](const auto& queue) { return !queue.empty(); });
  if (first != queues_.end()) {
    const double required = required_write_tokens(first->front().writes);
    wait_s = std::max(wait_s, (required - write_tokens_) / writes_per_s_);
  }
  timer_->arm(std::clamp(wait_s, min_wait_s, max_wait_s));
}

bool RateLimiter::Permit::await_ready() {
  limiter.refill();
  for (size_t i = 0; i <= static_cast<size_t>(priority); ++i)
    if (!limiter.queues_[i].empty()) return false;
  return limiter.try_consume(writes);
}

void RateLimiter::Permit::await_suspend(std::coroutine_handle<> waiter) {
  limiter.queues_[static_cast<size_t>(priority)].push_back({waiter, writes});
  limiter.arm_timer();
}

}  // namespace damsonport
