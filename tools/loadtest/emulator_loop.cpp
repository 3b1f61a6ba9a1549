#include "emulator_loop.hpp"

namespace damsonport::loadtest {

EmulatorLoop::EmulatorLoop(ParentChannel& parent, std::function<void(const Json&)> on_command)
    : parent_(parent), on_command_(std::move(on_command)) {
  commands_event_ = event_new(
      loop_.base(), parent.commands_fd(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<EmulatorLoop*>(self)->read_commands(); },
      this);
  event_add(commands_event_, nullptr);
}

EmulatorLoop::~EmulatorLoop() {
  event_free(commands_event_);
  if (second_timer_) event_free(second_timer_);
}

void EmulatorLoop::read_commands() {
  if (!parent_.read_commands(on_command_)) finish();
}

void EmulatorLoop::run(std::function<void()> every_second) {
  every_second_ = std::move(every_second);
  second_timer_ = event_new(
      loop_.base(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<EmulatorLoop*>(self)->every_second_(); },
      this);
  const timeval one_second{1, 0};
  event_add(second_timer_, &one_second);
  event_base_dispatch(loop_.base());
}

}  // namespace damsonport::loadtest
