/// Time, timers, sleeping, notifications and background tasks. The event loop that drives them is
/// behind an interface: the program's is libevent's (EventLoop), and simulations bring a virtual
/// clock.
#pragma once
#include <coroutine>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <stop_token>
#include <string>

#include "transport/task.hpp"

namespace damsonport {

/// Fires once, some time after it was armed; arming it again replaces the earlier time.
class Timer {
 public:
  using Callback = void (*)(void*);
  virtual ~Timer() = default;
  /// After 0 seconds it fires on the loop's next iteration, never from inside this call.
  virtual void arm(double seconds) = 0;
  virtual void disarm() = 0;
};

/// The event loop: clock, timers, random numbers and background tasks of one controller.
///
/// A background task is a coroutine that nobody awaits, started by spawn(). Coroutines run on the
/// loop's thread only, one at a time, and give way to others only where they `co_await`.
class Loop {
 public:
  /// `seed`: of the random numbers; the same seed yields the same run of a simulation.
  explicit Loop(std::seed_seq& seed) : random_(seed) {}
  virtual ~Loop() = default;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Seconds of the steady clock; its zero has no meaning.
  virtual double now() const = 0;
  /// Seconds since 1970, only for what users see as times of day.
  virtual double unix_time() const = 0;
  /// `callback` is called with `argument`; it may destroy the timer.
  virtual std::unique_ptr<Timer> timer(Timer::Callback callback, void* argument) = 0;
  /// Evenly distributed between `lo` and `hi`.
  double uniform(double lo, double hi);
  uint64_t random64() { return random_(); }

  /// Asks every background task to end, by the stop token.
  void stop();
  std::stop_token stop_token() const { return stop_.get_token(); }
  /// Starts a background task, which runs up to its first suspension at once. An exception that
  /// leaves it ends it, and is logged under `name`.
  void spawn(std::string name, Task<void> task);

 protected:
  /// Background tasks that have not ended.
  int running_tasks() const { return running_tasks_; }
  /// Called when stop() was called and the last background task has ended.
  virtual void on_tasks_ended() = 0;

 private:
  struct Detached;
  static Detached run_detached(Loop* loop, std::string name, Task<void> task);
  std::mt19937_64 random_;
  std::stop_source stop_;
  int running_tasks_ = 0;
};

/// Awaitable: resumes after `seconds`, or soon after the token is stopped. Yields false when
/// stopped. Must be awaited where it is created, and stays in place until it resumes.
class Sleep {
 public:
  Sleep(Loop& loop, double seconds, std::stop_token stop_token)
      : loop_(loop), seconds_(seconds), token_(std::move(stop_token)) {}
  bool await_ready() const { return token_.stop_requested(); }
  void await_suspend(std::coroutine_handle<> h);
  bool await_resume() const { return !token_.stop_requested(); }

 private:
  Loop& loop_;
  double seconds_;
  std::stop_token token_;
  std::coroutine_handle<> handle_;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<std::stop_callback<std::function<void()>>> on_stop_;
};

/// Wakes one waiting coroutine. It remembers one wake-up: notify() without a waiter makes the next
/// wait() return at once, and several count as one. At most one coroutine may wait at a time.
class Notification {
 public:
  explicit Notification(Loop& loop) : loop_(loop) {}

  /// The waiter resumes on the loop's next iteration, never from inside this call.
  void notify();

  /// Awaitable: resumes after notify(), after `seconds`, or soon after the token is stopped. Takes
  /// the remembered wake-up. Yields false when stopped.
  struct Waiter {
    Notification& notification;
    double seconds;
    std::stop_token stop_token;
    bool await_ready() const;
    void await_suspend(std::coroutine_handle<> h);
    bool await_resume();
  };
  Waiter wait(double seconds, std::stop_token stop_token) {
    return {*this, seconds, std::move(stop_token)};
  }

 private:
  void arm(double seconds);
  Loop& loop_;
  bool notified_ = false;
  std::coroutine_handle<> waiter_;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<std::stop_callback<std::function<void()>>> on_stop_;
};

}  // namespace damsonport
