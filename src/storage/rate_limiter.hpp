/// One controller's share of the key-value store's limits, given to its requests by priority.
///
/// The store publishes how many requests and writes it takes in a second, for now and for a later
/// time that is not known. The controllers divide these limits among themselves: each keeps to its
/// share by a token bucket for requests and one for writes. When the store refuses a request for
/// its rate, the announced limits may have come into force; they are kept to for a while, longer
/// each time, before the present ones are tried again.
#pragma once
#include <array>
#include <coroutine>
#include <deque>
#include <memory>
#include <optional>

#include "config/state_limits.hpp"
#include "transport/loop.hpp"

namespace damsonport {

/// What a request is for; the first ones are served first. Watching goes before scheduling: a shard
/// leader that writes all the time must still learn of cancellations. So do users' submissions and
/// cancellations: they are few beside what a shard leader may have to write.
enum class RequestPriority : uint8_t { lease, watching, accepting, scheduling, polling };
inline constexpr size_t request_priority_count = 5;

/// A controller's share of the writes, 0 to 1: a part for each controller in any case, the rest in
/// proportion to the writes that are wanted. Shares that are computed from the same figures never
/// add up to more than 1.
double write_share(int controllers, double wanted, double wanted_by_others);

/// Used by the coroutines of one loop; waiters of one priority are served in their order.
class RateLimiter {
 public:
  RateLimiter(Loop& loop, const StateLimitSettings& limits);
  RateLimiter(const RateLimiter&) = delete;
  RateLimiter& operator=(const RateLimiter&) = delete;

  /// This controller's shares of the limits, 0 to 1.
  void set_shares(double requests, double writes);
  double writes_per_s() const { return writes_per_s_; }
  /// The store refused a request for its rate.
  void on_rate_limited();

  /// Awaited: resumes when the request may be sent.
  struct Permit {
    RateLimiter& limiter;
    RequestPriority priority;
    int writes;
    bool await_ready();
    void await_suspend(std::coroutine_handle<> waiter);
    void await_resume() const {}
  };
  /// `writes`: puts and deletes of the request.
  [[nodiscard]] Permit acquire(RequestPriority priority, int writes) {
    return {*this, priority, writes};
  }

 private:
  struct Waiter {
    std::coroutine_handle<> handle;
    int writes;
  };
  void apply_limits(const StateLimits& limits);
  void apply_shares();
  void restore_present_limits();
  void refill();
  // What a request with so many writes needs in the bucket.
  double required_write_tokens(int writes) const;
  bool try_consume(int writes);
  void resume_waiters();
  void arm_timer();

  Loop& loop_;
  const StateLimitSettings limits_;
  double store_requests_per_s_ = 0;  // of the whole store
  double store_writes_per_s_ = 0;
  double request_share_ = 1;  // of this controller
  double write_share_ = 1;
  double requests_per_s_ = 0;  // per second, of this controller
  double writes_per_s_ = 0;
  // Steady time until which the announced limits are kept to; nothing: the present ones are.
  std::optional<double> lowered_until_;
  double lowered_duration_s_ = 0;
  double request_tokens_ = 0;  // in the buckets
  double write_tokens_ = 0;
  double refilled_at_;
  std::array<std::deque<Waiter>, request_priority_count> queues_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace damsonport
