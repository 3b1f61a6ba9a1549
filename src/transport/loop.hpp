// The event loop: time, sleeping, wake-ups and the set of running routines.
#pragma once
#include <coroutine>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <stop_token>
#include <string>

#include "transport/task.hpp"

struct event_base;
struct event;

namespace damsonport {

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  event_base* base() const { return base_; }
  // Seconds of the steady clock.
  double now() const;
  // Seconds since the epoch, only for what users see as times of day.
  double wall() const;
  double uniform(double lo, double hi);
  uint64_t random64() { return random_(); }

  void run();
  // Asks every routine to end and leaves run() when they have.
  void stop();
  std::stop_token stop_token() const { return stop_.get_token(); }
  // Starts a routine that nobody waits for; an exception in it is logged under `name`.
  void spawn(std::string name, Task<void> task);

 private:
  struct Detached;
  static Detached drive(Loop* loop, std::string name, Task<void> task);
  event_base* base_;
  std::mt19937_64 random_;
  std::stop_source stop_;
  int running_ = 0;
};

// Resumes after `seconds`, or at once when the token is stopped. Yields false when stopped.
class Sleep {
 public:
  Sleep(Loop& loop, double seconds, std::stop_token token)
      : loop_(loop), seconds_(seconds), token_(std::move(token)) {}
  ~Sleep();
  bool await_ready() const { return token_.stop_requested(); }
  void await_suspend(std::coroutine_handle<> h);
  bool await_resume() const { return !token_.stop_requested(); }

 private:
  Loop& loop_;
  double seconds_;
  std::stop_token token_;
  std::coroutine_handle<> handle_;
  event* timer_ = nullptr;
  std::unique_ptr<std::stop_callback<std::function<void()>>> on_stop_;
};

// A wake-up that is remembered until the (single) waiter takes it.
class Signal {
 public:
  explicit Signal(Loop& loop) : loop_(loop) {}
  ~Signal();
  void notify();
  // Waits for notify(), for `seconds`, or for the token.
  struct Waiter {
    Signal& signal;
    double seconds;
    std::stop_token token;
    bool await_ready() const;
    void await_suspend(std::coroutine_handle<> h);
    bool await_resume();
  };
  Waiter wait(double seconds, std::stop_token token) { return {*this, seconds, std::move(token)}; }

 private:
  void arm(double seconds);
  Loop& loop_;
  bool set_ = false;
  std::coroutine_handle<> waiter_;
  event* timer_ = nullptr;
  std::unique_ptr<std::stop_callback<std::function<void()>>> on_stop_;
};

}  // namespace damsonport
