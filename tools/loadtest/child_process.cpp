#include "child_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

namespace damsonport::loadtest {

namespace {

void write_line(int fd, const Json& message) {
  const std::string line = message.dump() + "\n";
  size_t done = 0;
  while (done < line.size()) {
    const ssize_t n = write(fd, line.data() + done, line.size() - done);
    if (n <= 0) return;  // other end closed
    done += static_cast<size_t>(n);
  }
}

// Appends all bytes that can be read without blocking. Returns false at the end of the stream.
bool read_available(int fd, std::string& buffer) {
  char block[65536];
  for (;;) {
    const ssize_t n = read(fd, block, sizeof block);
    if (n == 0) return false;
    if (n < 0) return true;
    buffer.append(block, static_cast<size_t>(n));
  }
}

// Removes the complete lines from the buffer and parses each as JSON.
std::vector<Json> take_lines(std::string& buffer) {
  std::vector<Json> out;
  size_t from = 0;
  for (size_t end = 0; (end = buffer.find('\n', from)) != std::string::npos; from = end + 1)
    out.push_back(Json::parse(buffer.substr(from, end - from)));
  buffer.erase(0, from);
  return out;
}

void set_non_blocking(int fd) { fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK); }

}  // namespace

void ParentChannel::send(const Json& message) const { write_line(messages_fd_, message); }

bool ParentChannel::read_commands(const std::function<void(const Json&)>& on_command) {
  const bool open = read_available(commands_fd_, buffer_);
  for (auto& command : take_lines(buffer_)) on_command(command);
  return open;
}

ChildProcess::ChildProcess(std::string name, const Body& body) : name_(std::move(name)) {
  int commands[2], messages[2];
  if (pipe2(commands, O_CLOEXEC) != 0 || pipe2(messages, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create a pipe");
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork a child process");
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    signal(SIGINT, SIG_IGN);
    signal(SIGPIPE, SIG_IGN);
    close(commands[1]);
    close(messages[0]);
    set_non_blocking(commands[0]);
    ParentChannel parent(commands[0], messages[1]);
    body(parent);
    _exit(0);
  }
  close(commands[0]);
  close(messages[1]);
  commands_fd_ = commands[1];
  messages_fd_ = messages[0];
  set_non_blocking(messages_fd_);
}

ChildProcess::~ChildProcess() {
  kill();
  close(commands_fd_);
  close(messages_fd_);
}

void ChildProcess::send(const Json& command) const { write_line(commands_fd_, command); }

std::vector<Json> ChildProcess::messages() {
  read_available(messages_fd_, buffer_);
  return take_lines(buffer_);
}

bool ChildProcess::has_ended() {
  if (pid_ != 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
  return pid_ == 0;
}

void ChildProcess::kill() {
  if (pid_ == 0) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

}  // namespace damsonport::loadtest
