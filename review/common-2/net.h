// Loopback HTTP for the stand-ins: a server with one thread per connection and a blocking client.
// Bodies are CBOR (PROTOCOL, first section).
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;

inline double now() {
  using namespace std::chrono;
  return duration<double>(steady_clock::now().time_since_epoch()).count();
}
inline void sleep_s(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

inline std::string to_cbor(const Json& v) {
  std::string out;
  Json::to_cbor(v, out);
  return out;
}
inline Json from_cbor(const std::string& s) {
  if (s.empty()) return Json();
  auto v = Json::from_cbor(s, true, false);
  return v.is_discarded() ? Json() : v;
}

struct Reply {
  int status = 0;  // 0: no answer
  Json body;
  std::map<std::string, std::string> headers;
};
struct Request {
  std::string method, path, query, body;
};

namespace detail {
inline int wait_fd(int fd, short events, double deadline) {
  for (;;) {
    double left = deadline - now();
    if (left <= 0) return 0;
    pollfd p{fd, events, 0};
    int r = poll(&p, 1, static_cast<int>(left * 1000) + 1);
    if (r != 0) return r;
  }
}
inline bool send_all(int fd, const std::string& s, double deadline) {
  size_t done = 0;
  while (done < s.size()) {
    ssize_t n = ::send(fd, s.data() + done, s.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      done += static_cast<size_t>(n);
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      if (wait_fd(fd, POLLOUT, deadline) <= 0) return false;
      continue;
    }
    return false;
  }
  return true;
}
inline std::string lower(std::string s) {
  for (auto& c : s) c = static_cast<char>(tolower(c));
  return s;
}
// Reads one HTTP message into head lines and body. `rest` keeps bytes that follow.
inline bool read_message(int fd, std::string& rest, std::string& first,
                         std::map<std::string, std::string>& headers, std::string& body,
                         double deadline, const std::atomic<bool>* stop) {
  auto more = [&] {
    for (;;) {
      if (stop && *stop) return false;
      double until = std::min(deadline, now() + 0.2);
      int r = wait_fd(fd, POLLIN, until);
      if (r < 0) return false;
      if (r == 0) {
        if (now() >= deadline) return false;
        continue;
      }
      char buf[65536];
      ssize_t n = ::recv(fd, buf, sizeof buf, 0);
      if (n <= 0) return false;
      rest.append(buf, static_cast<size_t>(n));
      return true;
    }
  };
  size_t end;
  while ((end = rest.find("\r\n\r\n")) == std::string::npos)
    if (!more()) return false;
  std::string head = rest.substr(0, end);
  rest.erase(0, end + 4);
  headers.clear();
  size_t at = head.find("\r\n");
  first = head.substr(0, at);
  while (at != std::string::npos) {
    size_t next = head.find("\r\n", at + 2);
    std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
    size_t colon = line.find(':');
    if (colon != std::string::npos) {
      size_t v = line.find_first_not_of(' ', colon + 1);
      headers[lower(line.substr(0, colon))] = v == std::string::npos ? "" : line.substr(v);
    }
    at = next;
  }
  body.clear();
  if (auto it = headers.find("content-length"); it != headers.end()) {
    size_t size = std::stoul(it->second);
    while (rest.size() < size)
      if (!more()) return false;
    body = rest.substr(0, size);
    rest.erase(0, size);
  } else if (auto te = headers.find("transfer-encoding"); te != headers.end()) {
    for (;;) {
      size_t line;
      while ((line = rest.find("\r\n")) == std::string::npos)
        if (!more()) return false;
      size_t size = std::stoul(rest.substr(0, line), nullptr, 16);
      while (rest.size() < line + 2 + size + 2)
        if (!more()) return false;
      body += rest.substr(line + 2, size);
      rest.erase(0, line + 2 + size + 2);
      if (size == 0) break;
    }
  }
  return true;
}
}  // namespace detail

// Finds a free loopback port.
inline int free_port() {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a);
  socklen_t n = sizeof a;
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
  close(fd);
  return ntohs(a.sin_port);
}

class Server {
 public:
  using Handler = std::function<Reply(const Request&)>;
  explicit Server(Handler handler, int port = 0) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(fd_, 256) != 0) {
      perror("bind");
      exit(2);
    }
    socklen_t n = sizeof a;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &n);
    port_ = ntohs(a.sin_port);
    std::thread([this] { accept_loop(); }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // A reply with this status is not sent: the connection is closed instead.
  static constexpr int no_answer = 0;

 private:
  void accept_loop() {
    for (;;) {
      int c = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (c < 0) {
        if (errno == EINTR || errno == ECONNABORTED) continue;
        sleep_s(0.05);
        continue;
      }
      int one = 1;
      setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, c] { serve(c); }).detach();
    }
  }
  void serve(int c) {
    std::string rest, first, body;
    std::map<std::string, std::string> headers;
    while (detail::read_message(c, rest, first, headers, body, now() + 600, nullptr)) {
      Request r;
      size_t a = first.find(' '), b = first.rfind(' ');
      if (a == std::string::npos || b <= a) break;
      r.method = first.substr(0, a);
      std::string target = first.substr(a + 1, b - a - 1);
      size_t q = target.find('?');
      r.path = target.substr(0, q);
      if (q != std::string::npos) r.query = target.substr(q + 1);
      r.body = body;
      Reply reply = handler_(r);
      if (reply.status == no_answer) break;
      std::string out = reply.body.is_null() ? "" : to_cbor(reply.body);
      std::string head = "HTTP/1.1 " + std::to_string(reply.status) + " X\r\nContent-Length: " +
                         std::to_string(out.size()) + "\r\n\r\n";
      if (!detail::send_all(c, head + out, now() + 10)) break;
    }
    close(c);
  }
  Handler handler_;
  int fd_, port_;
};

// One connection to a server; opened when needed, kept open between requests.
class Connection {
 public:
  explicit Connection(int port) : port_(port) {}
  ~Connection() { reset(); }
  Connection(const Connection&) = delete;
  int port() const { return port_; }
  void reset() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    rest_.clear();
  }
  // status 0: no answer within the time, or no connection.
  Reply call(const std::string& method, const std::string& target, const std::string& body,
             double timeout) {
    double deadline = now() + timeout;
    for (int attempt = 0; attempt < 2; ++attempt) {
      bool reused = fd_ >= 0;
      if (!reused && !open(deadline)) return {};
      std::string head = method + " " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n";
      std::string first, out;
      Reply reply;
      if (detail::send_all(fd_, head + body, deadline) &&
          detail::read_message(fd_, rest_, first, reply.headers, out, deadline, nullptr) &&
          first.size() > 12) {
        reply.status = std::atoi(first.c_str() + 9);
        reply.body = from_cbor(out);
        auto c = reply.headers.find("connection");
        if (c != reply.headers.end() && detail::lower(c->second) == "close") reset();
        return reply;
      }
      reset();
      // An idle connection that the server had closed is opened anew once.
      if (!reused || now() >= deadline) return {};
    }
    return {};
  }

 private:
  bool open(double deadline) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int flags = fcntl(fd_, F_GETFL, 0);
    fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(port_));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
      if (errno != EINPROGRESS || detail::wait_fd(fd_, POLLOUT, deadline) <= 0) {
        reset();
        return false;
      }
      int e = 0;
      socklen_t n = sizeof e;
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &e, &n);
      if (e != 0) {
        reset();
        return false;
      }
    }
    return true;
  }
  int port_;
  int fd_ = -1;
  std::string rest_;
};

inline Reply call(int port, const std::string& method, const std::string& target,
                  const Json& body, double timeout) {
  Connection c(port);
  return c.call(method, target, body.is_null() ? "" : to_cbor(body), timeout);
}

}  // namespace standin
