// A part of the emulator in a process of its own, with a line of JSON for each message to and from
// it. It ends with this process, however that ends.
#pragma once
#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace damsonport::loadtest {

// The child's side. Messages to the parent are written whole; commands come by `on_command`.
class ParentChannel {
 public:
  ParentChannel(int commands_fd, int messages_fd)
      : commands_fd_(commands_fd), messages_fd_(messages_fd) {}
  void send(const Json& message) const;
  int commands_fd() const { return commands_fd_; }
  // Reads what has come; false when the parent is gone.
  bool read_commands(const std::function<void(const Json&)>& on_command);

 private:
  int commands_fd_, messages_fd_;
  std::string buffer_;
};

class ChildProcess {
 public:
  using Body = std::function<void(ParentChannel& parent)>;
  // Forks at once. The body must not return before it is told to end.
  ChildProcess(std::string name, const Body& body);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  const std::string& name() const { return name_; }
  pid_t pid() const { return pid_; }
  void send(const Json& command) const;
  // What has come since the last call; doesn't wait.
  std::vector<Json> messages();
  void kill();

 private:
  std::string name_;
  pid_t pid_ = 0;
  int commands_fd_ = -1, messages_fd_ = -1;
  std::string buffer_;
};

}  // namespace damsonport::loadtest
