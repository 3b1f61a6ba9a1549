// What the emulator's processes have in common: a loop that hears the parent.
#pragma once
#include <event2/event.h>

#include <functional>

#include "child_process.hpp"
#include "transport/event_loop.hpp"

namespace damsonport::loadtest {

class EmulatorLoop {
 public:
  EmulatorLoop(ParentChannel& parent, std::function<void(const Json&)> on_command);
  ~EmulatorLoop();
  EmulatorLoop(const EmulatorLoop&) = delete;
  EmulatorLoop& operator=(const EmulatorLoop&) = delete;
  EventLoop& loop() { return loop_; }
  // Until `finish`; `every_second` is called once a second.
  void run(std::function<void()> every_second);
  void finish() { event_base_loopbreak(loop_.base()); }

 private:
  void read_commands();
  ParentChannel& parent_;
  std::function<void(const Json&)> on_command_;
  std::function<void()> every_second_;
  EventLoop loop_;
  event* commands_event_;
  event* second_timer_ = nullptr;
};

}  // namespace damsonport::loadtest
