// Basics of the review's stand-ins: clock, record file, links that can be cut, and a small HTTP/1.1
// server and client on loopback with blocking sockets and one thread for each connection.
#pragma once
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;

inline double now() {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline double uniform(double low, double high) {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return std::uniform_real_distribution<double>(low, high)(random);
}

// Writes a line with the time to record.txt.
inline FILE*& record_file() {
  static FILE* file = nullptr;
  return file;
}
inline void record(const char* format, ...) {
  static std::mutex mutex;
  std::lock_guard lock(mutex);
  if (!record_file()) return;
  fprintf(record_file(), "%8.3f ", now());
  va_list args;
  va_start(args, format);
  vfprintf(record_file(), format, args);
  va_end(args);
  fputc('\n', record_file());
  fflush(record_file());
}

inline std::string encode(const Json& value) {
  std::string out;
  Json::to_cbor(value, out);
  return out;
}
inline Json decode(const std::string& body) {
  auto value = Json::from_cbor(body, true, false);
  return value.is_object() ? value : Json::object();
}

// A network link that can be cut. While it is cut nothing passes. At its end, connections from
// before the cut are reset. A connection attempt that was begun during the cut repeats its first
// packet 1, 3, 7, 15 ... seconds later, as TCP does, and succeeds with the first one after the cut.
class Link {
 public:
  void cut() {
    std::lock_guard lock(mutex_);
    is_cut_ = true;
    ++cuts_;
  }
  void heal() {
    std::lock_guard lock(mutex_);
    is_cut_ = false;
    healed_.notify_all();
  }
  bool is_cut() const {
    std::lock_guard lock(mutex_);
    return is_cut_;
  }
  // Number of cuts so far.
  int cuts() const {
    std::lock_guard lock(mutex_);
    return cuts_;
  }
  // Waits until the link is whole, for `seconds` at most. Returns whether it is whole.
  bool wait_whole(double seconds) {
    std::unique_lock lock(mutex_);
    return healed_.wait_for(lock, std::chrono::duration<double>(seconds),
                            [this] { return !is_cut_; });
  }

  // Waits until a connection attempt that begins now succeeds, for `seconds` at most.
  bool wait_connected(double seconds) {
    const double begun_at = now();
    if (!is_cut()) return true;
    if (!wait_whole(seconds)) return false;
    double next = 1;
    while (begun_at + next < now()) next = 2 * next + 1;
    if (next > seconds) return false;
    sleep_s(begun_at + next - now());
    return true;
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable healed_;
  bool is_cut_ = false;
  int cuts_ = 0;
};

constexpr double forever = 1e6;

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Opens a listening socket on a free port.
inline int listen_on_free_port(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = loopback(0);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    perror("listen");
    exit(2);
  }
  port = ntohs(address.sin_port);
  return fd;
}

// Ports for the controllers. All are taken at the same time, so that they differ.
inline std::vector<int> free_ports(size_t count) {
  std::vector<int> ports(count), sockets(count);
  for (size_t i = 0; i < count; ++i) sockets[i] = listen_on_free_port(ports[i]);
  for (int fd : sockets) close(fd);
  return ports;
}

inline int connect_to(int port, double timeout_s) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{static_cast<time_t>(timeout_s),
                  static_cast<suseconds_t>((timeout_s - static_cast<int>(timeout_s)) * 1e6)};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  int yes = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  auto address = loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

inline bool send_all(int fd, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

// Whether the other side has closed the connection.
inline bool is_closed(int fd) {
  char byte;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// One HTTP message: the first line and the body.
struct Message {
  std::string first_line, body;
  bool close = false;
};

// Reads a message. `buffer` holds bytes that were read beyond the previous one.
inline bool read_message(int fd, std::string& buffer, Message& out, double timeout_s) {
  const double until = now() + timeout_s;
  size_t header_end;
  auto read_more = [&] {
    pollfd wait{fd, POLLIN, 0};
    const double left = until - now();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(std::min(left, 1e5) * 1000) + 1) <= 0)
      return false;
    char data[16384];
    const ssize_t n = recv(fd, data, sizeof data, 0);
    if (n <= 0) return false;
    buffer.append(data, static_cast<size_t>(n));
    return true;
  };
  while ((header_end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!read_more()) return false;
  std::string header = buffer.substr(0, header_end + 2);
  out.first_line = header.substr(0, header.find("\r\n"));
  for (auto& c : header) c = static_cast<char>(tolower(c));
  size_t length = 0;
  if (auto at = header.find("\r\ncontent-length:"); at != std::string::npos)
    length = std::strtoul(header.c_str() + at + 17, nullptr, 10);
  out.close = header.find("\r\nconnection: close") != std::string::npos;
  while (buffer.size() < header_end + 4 + length)
    if (!read_more()) return false;
  out.body = buffer.substr(header_end + 4, length);
  buffer.erase(0, header_end + 4 + length);
  return true;
}

struct Request {
  std::string method, target, body;
};
struct Response {
  int status = 0;  // 0: none
  std::string body;
  std::string harbour() const {
    auto map = decode(body);
    return map.contains("harbour") && map["harbour"].is_string() ? map["harbour"].get<std::string>()
                                                                 : std::string();
  }
};

// Serves HTTP on a free port behind a link. A response with status 0 is not sent: the connection
// stays open without an answer until the client gives up.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  explicit Server(Handler handler, Link* link = nullptr) : handler_(std::move(handler)), link_(link) {
    listener_ = listen_on_free_port(port);
    std::thread([this] { accept_all(); }).detach();
  }
  int port = 0;

 private:
  void accept_all() {
    for (;;) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int yes = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      std::thread([this, fd] {
        serve(fd);
        close(fd);
      }).detach();
    }
  }
  void serve(int fd) {
    if (link_ && link_->is_cut()) {
      link_->wait_connected(forever);
      // A connection attempt that was given up does not complete later.
      if (is_given_up(fd)) return;
    }
    const int cuts = link_ ? link_->cuts() : 0;
    std::string buffer;
    for (Message message; read_message(fd, buffer, message, forever);) {
      if (!passes(cuts)) return;
      Request request;
      const auto& line = message.first_line;
      const auto space = line.find(' ');
      request.method = line.substr(0, space);
      request.target = line.substr(space + 1, line.rfind(' ') - space - 1);
      request.body = std::move(message.body);
      const Response response = handler_(request);
      if (!passes(cuts)) return;
      if (response.status == 0) {
        while (!is_closed(fd)) sleep_s(0.1);
        return;
      }
      if (!send_all(fd, "HTTP/1.1 " + std::to_string(response.status) +
                            " -\r\nContent-Length: " + std::to_string(response.body.size()) +
                            "\r\n\r\n" + response.body))
        return;
      if (message.close) return;
    }
  }
  // Whether the client has closed the connection, be it behind a request that it has sent.
  static bool is_given_up(int fd) {
    pollfd state{fd, POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR));
  }
  // Whether the connection is still usable. If its link was cut, it is reset at the cut's end.
  bool passes(int cuts) {
    if (!link_ || link_->cuts() == cuts) return true;
    link_->wait_whole(forever);
    return false;
  }

  Handler handler_;
  Link* link_;
  int listener_ = -1;
};

// A client of one server, with a connection that stays open.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  Client(const Client&) = delete;
  ~Client() { reset(); }
  void reset() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    buffer_.clear();
  }
  Response call(const std::string& method, const std::string& target, const std::string& body,
                double timeout_s) {
    const double until = now() + timeout_s;
    if (fd_ >= 0 && is_closed(fd_)) reset();
    if (fd_ < 0) fd_ = connect_to(port_, timeout_s);
    if (fd_ < 0) return {};
    Message message;
    if (!send_all(fd_, method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body) ||
        !read_message(fd_, buffer_, message, until - now())) {
      reset();
      return {};
    }
    Response response{std::atoi(message.first_line.c_str() + message.first_line.find(' ') + 1),
                      std::move(message.body)};
    if (message.close) reset();
    return response;
  }

 private:
  int port_;
  int fd_ = -1;
  std::string buffer_;
};

// Forwards TCP connections to another port, over a link that can be cut.
class Proxy {
 public:
  Proxy(int to_port, Link* link) : to_port_(to_port), link_(link) {
    listener_ = listen_on_free_port(port);
    std::thread([this] {
      for (;;) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread([this, fd] { forward(fd); }).detach();
      }
    }).detach();
  }
  int port = 0;

 private:
  void forward(int client) {
    link_->wait_connected(forever);
    const int cuts = link_->cuts();
    const int server = connect_to(to_port_, 5);
    if (server >= 0) {
      pollfd both[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
      char data[16384];
      for (bool open = true; open;) {
        if (poll(both, 2, 50) < 0) break;
        if (link_->cuts() != cuts) {
          link_->wait_whole(forever);
          break;
        }
        for (int i = 0; i < 2 && open; ++i) {
          if (!both[i].revents) continue;
          const ssize_t n = recv(both[i].fd, data, sizeof data, 0);
          open = n > 0 && send_all(both[1 - i].fd, std::string(data, static_cast<size_t>(n)));
        }
      }
      close(server);
    }
    close(client);
  }
  int to_port_;
  Link* link_;
  int listener_ = -1;
};

}  // namespace standin
