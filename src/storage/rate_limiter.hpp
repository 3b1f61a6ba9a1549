/// Client-side rate limiter of the key-value store, with priorities.
///
/// The operators' settings give the store's limits on requests and writes per second: the present
/// limits, and limits announced for an unknown later time. The controllers divide these limits
/// among themselves, and each keeps within its share by one token bucket for requests and one for
/// writes. When the store refuses a request with 429, the announced limits may have come into
/// force: the limiter applies the lower of the two sets of limits for a period, which doubles each
/// time up to a bound, and then tries the present limits again.
#pragma once
#include <array>
#include <coroutine>
#include <deque>
#include <memory>
#include <optional>

#include "config/state_limits.hpp"
#include "transport/loop.hpp"

namespace damsonport {

/// Purpose of a request, which is also its priority; the first enumerator has the highest priority.
/// Watching precedes scheduling because a shard leader that writes continuously must still receive
/// cancellations. Accepting users' submissions and cancellations precedes scheduling because these
/// writes are few compared with the writes of a shard leader.
enum class RequestPriority : uint8_t { lease, watching, accepting, scheduling, polling };
/// Number of enumerators of RequestPriority.
inline constexpr size_t request_priority_count = 5;

/// A controller's share of the write limit, 0 to 1. One part of the limit is divided equally among
/// all controllers, the rest in proportion to their demand for writes, `wanted` of this controller
/// and `wanted_by_others` in the same unit. Shares computed from the same figures never add up to
/// more than 1.
double write_share(int controllers, double wanted, double wanted_by_others);

/// Rate limiter of one controller, used by the coroutines of one loop. Waiters of equal priority
/// resume in the order in which they started to wait.
class RateLimiter {
 public:
  /// `loop` must outlive the limiter.
  RateLimiter(Loop& loop, const StateLimitSettings& limits);
  RateLimiter(const RateLimiter&) = delete;
  RateLimiter& operator=(const RateLimiter&) = delete;

  /// Sets this controller's shares of the request limit and the write limit, 0 to 1. Also ends a
  /// period of lowered limits that has expired.
  void set_shares(double requests, double writes);
  /// Writes per second that this controller may use at present.
  double writes_per_s() const { return writes_per_s_; }
  /// To be called when the store refuses a request with 429.
  void on_rate_limited();

  /// Awaitable that resumes the coroutine when its request may be sent.
  struct Permit {
    RateLimiter& limiter;
    RequestPriority priority;
    int writes;
    bool await_ready();
    void await_suspend(std::coroutine_handle<> waiter);
    void await_resume() const {}
  };
  /// Waits for one request token and for the tokens of `writes`, the number of puts and deletes of
  /// the request.
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
  // Number of write tokens that the bucket has to hold before a request with `writes` writes is
  // sent.
  double required_write_tokens(int writes) const;
  bool try_consume(int writes);
  void resume_waiters();
  void arm_timer();

  Loop& loop_;
  const StateLimitSettings limits_;
  double store_requests_per_s_ = 0;  // for all controllers
  double store_writes_per_s_ = 0;
  double request_share_ = 1;  // share of this controller
  double write_share_ = 1;
  double requests_per_s_ = 0;  // for this controller
  double writes_per_s_ = 0;
  // Steady time until which the lowered limits apply; nullopt: the present limits apply.
  std::optional<double> lowered_until_;
  double lowered_duration_s_ = 0;
  double request_tokens_ = 0;  // in the request bucket
  double write_tokens_ = 0;
  double refilled_at_;
  std::array<std::deque<Waiter>, request_priority_count> queues_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace damsonport
