#include "transport/event_loop.hpp"

#include <event2/event.h>
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

class EventTimer : public Timer {
 public:
  EventTimer(event_base* base, Callback callback, void* argument)
      : callback_(callback),
        argument_(argument),
        event_(evtimer_new(
            base,
            [](evutil_socket_t, short, void* self) {
              auto* t = static_cast<EventTimer*>(self);
              t->callback_(t->argument_);  // may destroy the timer
            },
            this)) {}
  ~EventTimer() override { event_free(event_); }
  void arm(double seconds) override {
    timeval tv = to_timeval(seconds);
    event_add(event_, &tv);
  }
  void disarm() override { event_del(event_); }

 private:
  Callback callback_;
  void* argument_;
  event* event_;
};
}  // namespace

// Two calls of random_device, because with one 32-bit seed the incarnations of many restarts would
// collide.
struct EventLoop::Seed {
  std::seed_seq sequence{std::random_device{}(), std::random_device{}(),
                         static_cast<unsigned>(clock_seconds(CLOCK_REALTIME) * 1e3)};
};

EventLoop::EventLoop() : EventLoop(Seed{}) {}

EventLoop::EventLoop(Seed seed) : Loop(seed.sequence), base_(event_base_new()) {
  if (!base_) throw std::runtime_error("cannot create the event loop");
}

EventLoop::~EventLoop() { event_base_free(base_); }

double EventLoop::now() const { return clock_seconds(CLOCK_MONOTONIC); }
double EventLoop::unix_time() const { return clock_seconds(CLOCK_REALTIME); }

std::unique_ptr<Timer> EventLoop::timer(Timer::Callback callback, void* argument) {
  return std::make_unique<EventTimer>(base_, callback, argument);
}

void EventLoop::run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::on_tasks_ended() { event_base_loopbreak(base_); }

}  // namespace damsonport
