// The program's loop: libevent's.
#pragma once
#include "transport/loop.hpp"

struct event_base;

namespace damsonport {

class EventLoop : public Loop {
 public:
  EventLoop();
  ~EventLoop() override;
  double now() const override;
  double wall() const override;
  std::unique_ptr<Timer> timer(Timer::Fire fire, void* argument) override;
  event_base* base() const { return base_; }
  // Until it is told to stop and every routine has ended.
  void run();

 private:
  struct Seed;
  explicit EventLoop(Seed seed);
  void ended() override;
  event_base* base_;
};

}  // namespace damsonport
