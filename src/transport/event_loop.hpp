/// Event loop of the `damsonport` program, on libevent and the clocks of the system.
#pragma once
#include "transport/loop.hpp"

struct event_base;

namespace damsonport {

/// Event loop on libevent. The seed of its random numbers comes from the system.
class EventLoop : public Loop {
 public:
  /// Throws std::runtime_error if libevent can't be initialized.
  EventLoop();
  ~EventLoop() override;
  double now() const override;
  double unix_time() const override;
  std::unique_ptr<Timer> timer(Timer::Callback callback, void* argument) override;
  /// The libevent object, owned by the loop, for code that uses libevent directly.
  event_base* base() const { return base_; }
  /// Runs the loop until stop() has been called and every background task has ended.
  void run();

 private:
  struct Seed;
  explicit EventLoop(Seed seed);
  void on_tasks_ended() override;
  event_base* base_;
};

}  // namespace damsonport
