/// The program's event loop: libevent's, with the system's clocks.
#pragma once
#include "transport/loop.hpp"

struct event_base;

namespace damsonport {

/// Draws its random numbers from a seed of the system's.
class EventLoop : public Loop {
 public:
  /// Throws std::runtime_error where libevent can't be set up.
  EventLoop();
  ~EventLoop() override;
  double now() const override;
  double unix_time() const override;
  std::unique_ptr<Timer> timer(Timer::Callback callback, void* argument) override;
  /// For what runs on libevent itself.
  event_base* base() const { return base_; }
  /// Runs until stop() was called and every background task has ended.
  void run();

 private:
  struct Seed;
  explicit EventLoop(Seed seed);
  void on_tasks_ended() override;
  event_base* base_;
};

}  // namespace damsonport
