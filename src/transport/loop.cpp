#include "transport/loop.hpp"

#include <event2/event.h>
#include <spdlog/spdlog.h>
#include <time.h>

#include <stdexcept>

namespace damsonport {

namespace {
double clock_seconds(clockid_t id) {
  timespec ts{};
  clock_gettime(id, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}
timeval to_timeval(double seconds) {
  if (seconds < 0) seconds = 0;
  timeval tv{};
  tv.tv_sec = static_cast<time_t>(seconds);
  tv.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(tv.tv_sec)) * 1e6);
  return tv;
}
}  // namespace

Loop::Loop() : base_(event_base_new()), random_(std::random_device{}()) {
  if (!base_) throw std::runtime_error("cannot create the event loop");
  // Two calls: one seed of 32 bits would make incarnations of many restarts collide.
  std::seed_seq seed{std::random_device{}(), std::random_device{}(),
                     static_cast<unsigned>(clock_seconds(CLOCK_REALTIME) * 1e3)};
  random_.seed(seed);
}

Loop::~Loop() { event_base_free(base_); }

double Loop::now() const { return clock_seconds(CLOCK_MONOTONIC); }
double Loop::wall() const { return clock_seconds(CLOCK_REALTIME); }

double Loop::uniform(double lo, double hi) {
  return std::uniform_real_distribution<double>(lo, hi)(random_);
}

void Loop::run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void Loop::stop() {
  stop_.request_stop();
  if (running_ == 0) event_base_loopbreak(base_);
}

struct Loop::Detached {
  struct promise_type {
    Detached get_return_object() const noexcept { return {}; }
    std::suspend_never initial_suspend() const noexcept { return {}; }
    std::suspend_never final_suspend() const noexcept { return {}; }
    void return_void() const noexcept {}
    void unhandled_exception() const noexcept { std::terminate(); }
  };
};

Loop::Detached Loop::drive(Loop* loop, std::string name, Task<void> task) {
  ++loop->running_;
  try {
    co_await task;
  } catch (const std::exception& e) {
    spdlog::error("routine {} ended: {}", name, e.what());
  }
  --loop->running_;
  if (loop->running_ == 0 && loop->stop_.stop_requested()) event_base_loopbreak(loop->base_);
}

void Loop::spawn(std::string name, Task<void> task) {
  drive(this, std::move(name), std::move(task));
}

Sleep::~Sleep() {
  on_stop_.reset();
  if (timer_) event_free(timer_);
}

void Sleep::await_suspend(std::coroutine_handle<> h) {
  handle_ = h;
  timer_ = evtimer_new(
      loop_.base(),
      [](evutil_socket_t, short, void* self) { static_cast<Sleep*>(self)->handle_.resume(); },
      this);
  timeval tv = to_timeval(seconds_);
  event_add(timer_, &tv);
  // Not resumed from inside the callback: the stop may come from any depth of the stack.
  on_stop_ = std::make_unique<std::stop_callback<std::function<void()>>>(
      token_, [this] { event_active(timer_, EV_TIMEOUT, 0); });
}

Signal::~Signal() {
  on_stop_.reset();
  if (timer_) event_free(timer_);
}

void Signal::arm(double seconds) {
  if (!timer_) {
    timer_ = evtimer_new(
        loop_.base(),
        [](evutil_socket_t, short, void* self) {
          auto* s = static_cast<Signal*>(self);
          if (s->waiter_) std::exchange(s->waiter_, {}).resume();
        },
        this);
  }
  timeval tv = to_timeval(seconds);
  event_add(timer_, &tv);
}

void Signal::notify() {
  if (set_) return;
  set_ = true;
  if (waiter_) arm(0);
}

bool Signal::Waiter::await_ready() const { return signal.set_ || token.stop_requested(); }

void Signal::Waiter::await_suspend(std::coroutine_handle<> h) {
  signal.waiter_ = h;
  signal.arm(seconds);
  signal.on_stop_ = std::make_unique<std::stop_callback<std::function<void()>>>(
      token, [s = &signal] { s->arm(0); });
}

bool Signal::Waiter::await_resume() {
  signal.on_stop_.reset();
  if (signal.timer_) event_del(signal.timer_);
  signal.set_ = false;
  return !token.stop_requested();
}

}  // namespace damsonport
