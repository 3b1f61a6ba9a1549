#include "transport/loop.hpp"

#include <spdlog/spdlog.h>

#include <cstdlib>

namespace damsonport {

double Loop::uniform(double lo, double hi) {
  return std::uniform_real_distribution<double>(lo, hi)(random_);
}

void Loop::stop() {
  stop_.request_stop();
  if (running_tasks_ == 0) on_tasks_ended();
}

// Return type of run_detached(). Its coroutine starts at once and destroys its own frame at the
// end.
struct Loop::Detached {
  struct promise_type {
    Detached get_return_object() const noexcept { return {}; }
    std::suspend_never initial_suspend() const noexcept { return {}; }
    std::suspend_never final_suspend() const noexcept { return {}; }
    void return_void() const noexcept {}
    void unhandled_exception() const noexcept { std::terminate(); }
  };
};

Loop::Detached Loop::run_detached(Loop* loop, std::string name, Task<void> task,
                                  OnException policy) {
  ++loop->running_tasks_;
  try {
    co_await task;
  } catch (const std::exception& e) {
    spdlog::error("background task {} ended by an exception: {}", name, e.what());
    if (policy == OnException::end_process) std::abort();
  }
  --loop->running_tasks_;
  if (loop->running_tasks_ == 0 && loop->stop_.stop_requested()) loop->on_tasks_ended();
}

void Loop::spawn(std::string name, Task<void> task) {
  run_detached(this, std::move(name), std::move(task), OnException::end_task);
}

void Loop::spawn_essential(std::string name, Task<void> task) {
  run_detached(this, std::move(name), std::move(task), OnException::end_process);
}

void Sleep::await_suspend(std::coroutine_handle<> h) {
  handle_ = h;
  timer_ = loop_.timer([](void* self) { static_cast<Sleep*>(self)->handle_.resume(); }, this);
  timer_->arm(seconds_);
  // The callback doesn't resume the coroutine itself, because the stop may be requested at any
  // depth of the call stack.
  on_stop_ = std::make_unique<std::stop_callback<std::function<void()>>>(
      token_, [this] { timer_->arm(0); });
}

void Notification::arm(double seconds) {
  if (!timer_)
    timer_ = loop_.timer(
        [](void* self) {
          auto* notification = static_cast<Notification*>(self);
          if (notification->waiter_) std::exchange(notification->waiter_, {}).resume();
        },
        this);
  timer_->arm(seconds);
}

void Notification::notify() {
  if (notified_) return;
  notified_ = true;
  if (waiter_) arm(0);
}

bool Notification::Waiter::await_ready() const {
  return notification.notified_ || stop_token.stop_requested();
}

void Notification::Waiter::await_suspend(std::coroutine_handle<> h) {
  notification.waiter_ = h;
  notification.arm(seconds);
  notification.on_stop_ = std::make_unique<std::stop_callback<std::function<void()>>>(
      stop_token, [waited_for = &notification] { waited_for->arm(0); });
}

bool Notification::Waiter::await_resume() {
  notification.on_stop_.reset();
  if (notification.timer_) notification.timer_->disarm();
  notification.notified_ = false;
  return !stop_token.stop_requested();
}

}  // namespace damsonport
