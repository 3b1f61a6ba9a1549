// This node's share of the state service's published limits, handed out by importance.
#pragma once
#include <array>
#include <coroutine>
#include <deque>

#include "config/state_limits.hpp"
#include "transport/loop.hpp"

namespace damsonport {

// Lower is served first.
// Watching goes before placing: a holder that writes all the time must still hear of cancellations.
// Users' submissions and cancellations do too: they are few beside what a holder may have to write.
enum class RequestPriority : uint8_t { lease, watching, accepting, scheduling, polling };

// A node's share of the writes: a little for each node in any case, the rest by what is wanted.
// Shares that are worked out from the same figures never add up to more than 1.
double write_share(int controllers, double wanted, double wanted_by_others);

class RateLimiter {
 public:
  RateLimiter(Loop& loop, const StateLimitSettings& limits);
  RateLimiter(const RateLimiter&) = delete;
  RateLimiter& operator=(const RateLimiter&) = delete;
  // The shares of the limits, 0 to 1.
  void set_shares(double requests, double writes);
  double writes_per_s() const { return write_rate_; }
  // The service refused a request for its rate: the announced limits may be in force. They are kept
  // to for a while, longer each time, before the present ones are tried again.
  void refused();
  // Waiting users of one importance; callers refuse new work over a bound instead of queueing it.
  size_t waiting(RequestPriority i) const { return queues_[static_cast<size_t>(i)].size(); }

  struct Turn {
    RateLimiter& limit;
    RequestPriority importance;
    int writes;
    bool await_ready();
    void await_suspend(std::coroutine_handle<> h);
    void await_resume() const {}
  };
  Turn take(RequestPriority importance, int writes) { return {*this, importance, writes}; }

 private:
  struct Waiter {
    std::coroutine_handle<> handle;
    int writes;
  };
  void refill();
  void use(const StateLimits& limits);
  void try_present_again();
  bool spend(int writes);
  void pump();
  void arm();
  Loop& loop_;
  const StateLimitSettings limits_;
  double all_requests_ = 0, all_writes_ = 0;    // of the whole service
  double request_share_ = 1, write_share_ = 1;  // of this node
  double request_rate_ = 0, write_rate_ = 0;
  // Steady time until which the announced limits are kept to; 0: the present ones are.
  double lowered_until_ = 0;
  double lowered_for_s_ = 0;
  double requests_, writes_;
  double last_;
  std::array<std::deque<Waiter>, 5> queues_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace damsonport
