/// Interface of the event loop, with clocks, timers and background tasks, and awaitables for delays
/// and notifications. The program uses EventLoop; simulations use a loop with a virtual clock.
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

/// One-shot timer of a loop. It calls its callback once each time that it is armed.
class Timer {
 public:
  using Callback = void (*)(void*);
  virtual ~Timer() = default;
  /// Sets the timer to fire after `seconds`, and replaces any earlier setting. With 0 seconds, the
  /// timer fires in the next iteration of the loop, never from inside this call.
  virtual void arm(double seconds) = 0;
  virtual void disarm() = 0;
};

/// Event loop of one controller: clocks, timers, random numbers and background tasks.
///
/// A background task is a coroutine that is started by spawn() and not awaited. All coroutines run
/// on the thread of the loop, one at a time. A coroutine can be suspended only at a `co_await`.
class Loop {
 public:
  /// `seed` initializes the random numbers. A simulation with the same seed has the same course.
  explicit Loop(std::seed_seq& seed) : random_(seed) {}
  virtual ~Loop() = default;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Time of the steady clock in seconds since an unspecified start.
  virtual double now() const = 0;
  /// Unix time in seconds. Only for times of day, which are stored or shown to users.
  virtual double unix_time() const = 0;
  /// Creates a timer that calls `callback` with `argument`. The callback may destroy the timer.
  virtual std::unique_ptr<Timer> timer(Timer::Callback callback, void* argument) = 0;
  /// Returns a uniformly distributed random number from `lo` to `hi`.
  double uniform(double lo, double hi);
  /// Returns a random number of 64 bits.
  uint64_t random64() { return random_(); }

  /// Requests every background task to end, by the stop token.
  void stop();
  std::stop_token stop_token() const { return stop_.get_token(); }
  /// Starts a background task, which runs at once up to its first suspension. An exception that the
  /// task doesn't catch ends the task and is logged with `name`.
  void spawn(std::string name, Task<void> task);
  /// Starts a background task without which the controller can't do its work. An exception that the
  /// task doesn't catch is logged with `name` and ends the process: a controller that went on would
  /// keep its leadership, and another one can take over at once.
  void spawn_essential(std::string name, Task<void> task);

 protected:
  /// Number of background tasks that have not ended.
  int running_tasks() const { return running_tasks_; }
  /// Called once stop() has been called and all background tasks have ended.
  virtual void on_tasks_ended() = 0;

 private:
  struct Detached;
  enum class OnException : uint8_t { end_task, end_process };
  static Detached run_detached(Loop* loop, std::string name, Task<void> task, OnException policy);
  std::mt19937_64 random_;
  std::stop_source stop_;
  int running_tasks_ = 0;
};

/// Awaitable delay: resumes after `seconds`, or soon after a stop is requested by the token.
/// Returns false if a stop was requested. Must be awaited where it is created, because it must not
/// be moved before the coroutine resumes.
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

/// Wakes one waiting coroutine. A notification without a waiter is kept, so that the next wait()
/// returns at once; several of them count as one. At most one coroutine may wait at a time.
class Notification {
 public:
  explicit Notification(Loop& loop) : loop_(loop) {}

  /// Wakes the waiter in the next iteration of the loop, never from inside this call.
  void notify();

  /// Awaitable of wait(): resumes after notify(), after `seconds`, or soon after a stop is
  /// requested by the token. Resets the notification. Returns false if a stop was requested.
  struct Waiter {
    Notification& notification;
    double seconds;
    std::stop_token stop_token;
    bool await_ready() const;
    void await_suspend(std::coroutine_handle<> h);
    bool await_resume();
  };
  /// Returns an awaitable for the next notification.
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
