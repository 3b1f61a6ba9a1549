/// The event loop of the load tool's child processes, which also reads the parent's commands.
#pragma once
#include <event2/event.h>

#include <functional>

#include "child_process.hpp"
#include "transport/event_loop.hpp"

namespace damsonport::loadtest {

/// Finishes by itself when the parent is gone.
class EmulatorLoop {
 public:
  /// `parent` must outlive the loop. `on_command` is called in `run` for each command.
  EmulatorLoop(ParentChannel& parent, std::function<void(const Json&)> on_command);
  ~EmulatorLoop();
  EmulatorLoop(const EmulatorLoop&) = delete;
  EmulatorLoop& operator=(const EmulatorLoop&) = delete;
  EventLoop& loop() { return loop_; }
  /// Runs until `finish` is called, and calls `every_second` once a second.
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
