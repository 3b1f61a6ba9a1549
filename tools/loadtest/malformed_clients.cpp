#include "malformed_clients.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <random>
#include <utility>

#include "addresses.hpp"
#include "emulator_loop.hpp"
#include "transport/event_http.hpp"

namespace damsonport::loadtest {

namespace {

constexpr double request_interval_s = 0.02;
constexpr double health_check_interval_s = 0.25;
constexpr double health_check_timeout_s = 1;
constexpr size_t max_body_bytes = size_t{64} * 1024;
/// Half-sent requests that are open at each controller, as a multiple of its connections.
constexpr double half_sent_share = 1.2;
/// Open half-sent requests of this process, below the usual limits of open files.
constexpr size_t max_half_sent = 800;

std::string repeated(const std::string& part, size_t bytes) {
  std::string out;
  while (out.size() + part.size() <= bytes) out += part;
  return out;
}

std::vector<std::string> malformed_bodies() {
  std::string sound_start = encode({{"ref", "run-malformed"}, {"cargo", "img"}});
  return {repeated("\x7f", max_body_bytes),
          repeated("\x5f", max_body_bytes),
          repeated("\x81", max_body_bytes),
          repeated("\xa1\x61k", max_body_bytes),
          std::string("\x9b\x40\0\0\0\0\0\0\0", 9),
          std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff", 9),
          std::string("\xa1\x63ref\x63\xed\xa0\x80", 9),
          sound_start.substr(0, sound_start.size() / 2),
          std::string(200, '\xff')};
}

std::string http_request(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::vector<std::string> malformed_requests() {
  std::vector<std::string> out = {
      "GET\r\n\r\n", std::string("\x16\x03\x01\0\xff", 5),
      "POST /api/jobs HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST /api/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz"};
  for (const std::string& body : malformed_bodies())
    for (const char* path : {"/api/jobs", "/hello", "/api/jobs/run-1/cancel"})
      out.push_back(http_request(path, body));
  return out;
}

/// A connection that is closed with the object.
class RawConnection {
 public:
  explicit RawConnection(const std::string& host)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(addresses::api_port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    (void)connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address);
  }
  ~RawConnection() {
    if (fd_ >= 0) close(fd_);
  }
  RawConnection(RawConnection&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  RawConnection& operator=(RawConnection&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  // Sends what fits into the socket's buffer.
  void send(std::string_view bytes) const {
    (void)::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  void reset() const {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }

 private:
  int fd_;
};

class MalformedClients {
 public:
  MalformedClients(const ExperimentPlan& plan, size_t region, EventLoop& loop)
      : loop_(loop), client_(loop), random_(plan.seed + region), requests_(malformed_requests()) {
    for (size_t n = 0; n < plan.controllers[region]; ++n)
      hosts_.push_back(addresses::controller(region, n));
    half_sent_limit_ =
        std::min(max_half_sent,
                 static_cast<size_t>(half_sent_share * plan.settings.max_sockets) * hosts_.size());
    loop_.spawn("malformed requests", send_requests(loop_.stop_token()));
    for (auto& host : hosts_) loop_.spawn("health checks", check_health(host, loop_.stop_token()));
  }

  Json counts() const {
    return {{"kind", "final"},
            {"requests", sent_requests_},
            {"health_checks", health_checks_},
            {"late_health_checks", late_health_checks_}};
  }

 private:
  const std::string& any_host() { return hosts_[random_() % hosts_.size()]; }

  Task<void> send_requests(std::stop_token stop_token) {
    while (!stop_token.stop_requested()) {
      const bool goes_on = co_await Sleep(loop_, request_interval_s, stop_token);
      if (!goes_on) co_return;
      send_one_whole();
      send_halves();
      send_one_byte_each();
    }
  }

  // A request is sent in the round after its connection was begun, and stays open for some rounds.
  void send_one_whole() {
    constexpr size_t kept_connections = 8;
    if (!whole_.empty()) whole_.back().send(requests_[random_() % requests_.size()]);
    whole_.emplace_back(any_host());
    if (whole_.size() > kept_connections) {
      if (random_() % 4 == 0) whole_.front().reset();
      whole_.pop_front();
    }
    ++sent_requests_;
  }

  void send_halves() {
    constexpr size_t connections_per_round = 5;
    for (size_t i = half_sent_.size() - unsent_; i < half_sent_.size(); ++i)
      half_sent_[i].send("POST /api/jobs HTTP/1.1\r\nContent-Length: 600\r\n\r\n\xbf");
    for (unsent_ = 0; unsent_ < connections_per_round; ++unsent_)
      half_sent_.emplace_back(any_host());
    while (half_sent_.size() > half_sent_limit_) half_sent_.pop_front();
    sent_requests_ += unsent_;
  }

  void send_one_byte_each() {
    constexpr int rounds_between_bytes = 50;  // a byte every second
    if (++round_ % rounds_between_bytes != 0) return;
    for (auto& connection : half_sent_) connection.send("a");
  }

  // A controller that was killed refuses the connection, which is no late answer.
  Task<void> check_health(std::string host, std::stop_token stop_token) {
    const Endpoint controller{std::move(host), addresses::api_port};
    while (!stop_token.stop_requested()) {
      const bool goes_on = co_await Sleep(loop_, health_check_interval_s, stop_token);
      if (!goes_on) co_return;
      const double asked_at = loop_.now();
      const HttpClientResponse reply = co_await client_.request(
          controller, Method::get, "/healthz", std::string(), health_check_timeout_s);
      const bool is_late = loop_.now() - asked_at >= health_check_timeout_s;
      ++health_checks_;
      if (is_late && !reply.answered()) ++late_health_checks_;
      client_.close_idle_connections(0);
    }
  }

  EventLoop& loop_;
  EventHttpClient client_;
  std::mt19937_64 random_;
  std::vector<std::string> requests_, hosts_;
  std::deque<RawConnection> whole_;
  std::deque<RawConnection> half_sent_;
  size_t unsent_ = 0;  // of `half_sent_`: connections begun in the last round
  size_t half_sent_limit_ = 0;
  uint64_t round_ = 0, sent_requests_ = 0, health_checks_ = 0, late_health_checks_ = 0;
};

}  // namespace

void run_malformed_clients(const ExperimentPlan& plan, size_t region, ParentChannel& parent) {
  EmulatorLoop* emulator_pointer = nullptr;
  MalformedClients* clients_pointer = nullptr;
  auto on_command = [&](const Json& command) {
    if (command.at("do") != "finish") return;
    parent.send(clients_pointer->counts());
    emulator_pointer->finish();
  };
  EmulatorLoop loop(parent, on_command);
  emulator_pointer = &loop;
  MalformedClients clients(plan, region, loop.loop());
  clients_pointer = &clients;
  loop.run([] {});
}

}  // namespace damsonport::loadtest
