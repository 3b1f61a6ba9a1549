// The stand-ins' world on real sockets: time is the machine's, hosts are loopback addresses.
#pragma once
#include <map>
#include <memory>
#include <string>

#include "protocol/messages.hpp"
#include "simulation/world.hpp"
#include "transport/event_http.hpp"

namespace damsonport::loadtest {

// Requests and bytes of one kind, as the stand-ins see them. Bodies only; what the headers of one
// exchange add is a constant (`header_bytes`).
struct Traffic {
  uint64_t requests = 0, bytes_in = 0, bytes_out = 0;
  Traffic& operator+=(const Traffic& o) {
    requests += o.requests;
    bytes_in += o.bytes_in;
    bytes_out += o.bytes_out;
    return *this;
  }
};
using TrafficByKind = std::map<std::string, Traffic>;
// By kind: requests, bytes in, bytes out.
Json traffic_json(const TrafficByKind& traffic);
// Of a request and its answer, as libevent writes them to and from a worker.
constexpr uint64_t header_bytes = 230;

class RealTimeWorld : public simulation::World {
 public:
  RealTimeWorld(EventLoop& loop, uint64_t seed);
  ~RealTimeWorld() override;

  // Where a host listens; `default_port` where nothing is said.
  void set_port(const std::string& host, uint16_t port) { ports_[host] = port; }
  static constexpr uint16_t default_port = 9000;

  void serve(const std::string& host, Serve handler) override;
  void vanish(const std::string& host) override;
  void ask(const std::string& from, const std::string& to, Method method, std::string target,
           std::string body, const Answer& answer) override;

  // Plays what is due. Whoever comes from outside the world calls it first, and goes by `act`.
  void run_in_world(const std::function<void()>& action);
  // By kind of request: what was asked of this world's servers, and what its clients asked.
  const TrafficByKind& server_traffic() const { return server_traffic_; }
  const TrafficByKind& client_traffic() const { return client_traffic_; }

 private:
  struct PendingReply;
  struct ReplyAwaiter;
  Endpoint endpoint(const std::string& host) const;
  double elapsed() const { return loop_.now() - started_at_; }
  void arm_timer();
  Task<HttpResponse> answer_request(std::string host, HttpRequest request);
  Task<void> exchange(EventHttpClient& client, Endpoint to, Method method, std::string target,
                      std::string body, Answer answer);

  EventLoop& loop_;
  double started_at_;
  std::unique_ptr<Timer> timer_;
  std::map<std::string, uint16_t> ports_;
  std::map<std::string, Serve> handlers_;
  std::map<std::string, std::unique_ptr<EventHttpServer>> servers_;
  std::map<std::string, std::unique_ptr<EventHttpClient>> clients_;
  TrafficByKind server_traffic_, client_traffic_;
};

}  // namespace damsonport::loadtest
