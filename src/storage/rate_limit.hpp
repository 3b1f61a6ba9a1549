// This node's share of the state service's published limits, handed out by importance.
#pragma once
#include <array>
#include <coroutine>
#include <deque>

#include "transport/loop.hpp"

namespace damsonport {

// Lower is served first.
// Watching goes before placing: a holder that writes all the time must still hear of cancellations.
enum class Importance : uint8_t { lease, watching, placing, accepting, polling };

// A node's share of the writes: a little for each node in any case, the rest by what is wanted.
// Shares that are worked out from the same figures never add up to more than 1.
double write_share(int nodes, double wanted, double wanted_by_others);

class RateLimit {
 public:
  RateLimit(Loop& loop, double requests_per_s, double writes_per_s);
  RateLimit(const RateLimit&) = delete;
  RateLimit& operator=(const RateLimit&) = delete;
  // The shares of the limits, 0 to 1.
  void set_shares(double requests, double writes);
  double writes_per_s() const { return write_rate_; }
  // Waiting users of one importance; callers refuse new work over a bound instead of queueing it.
  size_t waiting(Importance i) const { return queues_[static_cast<size_t>(i)].size(); }

  struct Turn {
    RateLimit& limit;
    Importance importance;
    int writes;
    bool await_ready();
    void await_suspend(std::coroutine_handle<> h);
    void await_resume() const {}
  };
  Turn take(Importance importance, int writes) { return {*this, importance, writes}; }

 private:
  struct Waiter {
    std::coroutine_handle<> handle;
    int writes;
  };
  void refill();
  bool spend(int writes);
  void pump();
  void arm();
  Loop& loop_;
  double all_requests_, all_writes_;
  double request_rate_, write_rate_;
  double requests_, writes_;
  double last_;
  std::array<std::deque<Waiter>, 5> queues_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace damsonport
