// Time, sleeping, wake-ups and the set of running routines. What drives them is behind an
// interface: the program's is an event loop, and tests bring a clock of their own.
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

// Fires once, some time after it was armed; arming it anew forgets the earlier time.
class Timer {
 public:
  using Fire = void (*)(void*);
  virtual ~Timer() = default;
  // 0: on the loop's next turn, never from inside this call.
  virtual void arm(double seconds) = 0;
  virtual void disarm() = 0;
};

class Loop {
 public:
  explicit Loop(std::seed_seq& seed) : random_(seed) {}
  virtual ~Loop() = default;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Seconds of the steady clock.
  virtual double now() const = 0;
  // Seconds since the epoch, only for what users see as times of day.
  virtual double wall() const = 0;
  virtual std::unique_ptr<Timer> timer(Timer::Fire fire, void* argument) = 0;
  double uniform(double lo, double hi);
  uint64_t random64() { return random_(); }

  // Asks every routine to end.
  void stop();
  std::stop_token stop_token() const { return stop_.get_token(); }
  // Starts a routine that nobody waits for; an exception in it is logged under `name`.
  void spawn(std::string name, Task<void> task);

 protected:
  int running() const { return running_; }
  // Told to stop, and the last routine has ended.
  virtual void ended() = 0;

 private:
  struct Detached;
  static Detached drive(Loop* loop, std::string name, Task<void> task);
  std::mt19937_64 random_;
  std::stop_source stop_;
  int running_ = 0;
};

// Resumes after `seconds`, or at once when the token is stopped. Yields false when stopped.
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

// A wake-up that is remembered until the (single) waiter takes it.
class Notification {
 public:
  explicit Notification(Loop& loop) : loop_(loop) {}
  void notify();
  // Waits for notify(), for `seconds`, or for the token.
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
  bool set_ = false;
  std::coroutine_handle<> waiter_;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<std::stop_callback<std::function<void()>>> on_stop_;
};

}  // namespace damsonport
