/// Child processes of the load tool. Parent and child exchange messages over two pipes, one line of
/// JSON for each message. The kernel kills a child when its parent ends, however the parent ends.
#pragma once
#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace damsonport::loadtest {

/// The child's end of the two pipes.
class ParentChannel {
 public:
  ParentChannel(int commands_fd, int messages_fd)
      : commands_fd_(commands_fd), messages_fd_(messages_fd) {}
  /// Blocks until the whole message is written. The message is lost if the parent is gone.
  void send(const Json& message) const;
  /// Non-blocking; readable when commands have arrived.
  int commands_fd() const { return commands_fd_; }
  /// Calls `on_command` for each complete command that has arrived, without blocking. Returns false
  /// when the parent is gone.
  bool read_commands(const std::function<void(const Json&)>& on_command);

 private:
  int commands_fd_, messages_fd_;
  std::string buffer_;
};

/// The parent's end. The child is killed when this object is destroyed.
class ChildProcess {
 public:
  using Body = std::function<void(ParentChannel& parent)>;
  /// Forks and runs `body` in the child; the child exits when `body` returns. `body` must not
  /// return before the command "finish" has arrived. Throws if there is no pipe or process left.
  ChildProcess(std::string name, const Body& body);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  const std::string& name() const { return name_; }
  pid_t pid() const { return pid_; }
  /// Blocks until the whole command is written. The command is lost if the child is gone.
  void send(const Json& command) const;
  /// The complete messages that have arrived since the last call. Doesn't block.
  std::vector<Json> messages();
  /// Whether the child has ended by itself since it was started.
  bool has_ended();
  /// Kills the child and waits for its end. Does nothing if the child was killed before.
  void kill();

 private:
  std::string name_;
  pid_t pid_ = 0;
  int commands_fd_ = -1, messages_fd_ = -1;
  std::string buffer_;
};

}  // namespace damsonport::loadtest
