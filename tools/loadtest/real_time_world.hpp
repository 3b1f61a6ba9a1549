/// The world of the simulation in real time and on real sockets, so that the simulated key-value
/// store, cloud, workers and users can talk to real controllers. Hosts are loopback addresses.
#pragma once
#include <map>
#include <memory>
#include <string>

#include "protocol/messages.hpp"
#include "simulation/world.hpp"
#include "transport/event_http.hpp"

namespace damsonport::loadtest {

/// Requests of one kind and the bytes of their bodies, as seen by the simulated side. Headers
/// aren't counted; `header_bytes` is the estimate for one exchange.
struct Traffic {
  uint64_t requests = 0, bytes_in = 0, bytes_out = 0;
  Traffic& operator+=(const Traffic& o) {
    requests += o.requests;
    bytes_in += o.bytes_in;
    bytes_out += o.bytes_out;
    return *this;
  }
};
/// By kind of request, such as "poll" or "lease".
using TrafficByKind = std::map<std::string, Traffic>;
/// An object with a list of requests, bytes in and bytes out for each kind.
Json traffic_json(const TrafficByKind& traffic);
/// Bytes of headers of a request and its response together, as libevent writes them between a
/// worker and a controller.
constexpr uint64_t header_bytes = 230;

/// Owns the servers and clients of its hosts. Time in the world is the seconds since its
/// construction.
class RealTimeWorld : public simulation::World {
 public:
  /// `loop` must outlive the world.
  RealTimeWorld(EventLoop& loop, uint64_t seed);
  ~RealTimeWorld() override;

  /// Sets the port at which a host listens, whether it is served here or by another process.
  /// Without a call the port is `default_port`.
  void set_port(const std::string& host, uint16_t port) { ports_[host] = port; }
  static constexpr uint16_t default_port = 9000;

  /// Listens at the host's address. A later call replaces the handler.
  void serve(const std::string& host, RequestHandler handler) override;
  /// Stops listening at the host's address, after 1 s, since the call may come from a handler of
  /// this host. Requests until then get status 503.
  void stop_serving(const std::string& host) override;
  /// Sends the request over HTTP. `answer` is called with status 0 if no response comes in time.
  void send_request(const std::string& from, const std::string& to, Method method,
                    std::string target, std::string body, const ResponseHandler& answer) override;

  /// Runs the events that are due, then `action`. Code that isn't called by an event of this world,
  /// such as a callback of the event loop, must use it to change the world: events that are added
  /// without it may run up to 10 ms late.
  void run_in_world(const std::function<void()>& action);
  /// Traffic of the servers and of the clients of this world. "In" and "out" are as seen by the
  /// server or client.
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
                      std::string body, ResponseHandler answer);

  EventLoop& loop_;
  double started_at_;
  std::unique_ptr<Timer> timer_;
  std::map<std::string, uint16_t> ports_;
  std::map<std::string, RequestHandler> handlers_;
  std::map<std::string, std::unique_ptr<EventHttpServer>> servers_;
  std::map<std::string, std::unique_ptr<EventHttpClient>> clients_;
  TrafficByKind server_traffic_, client_traffic_;
};

}  // namespace damsonport::loadtest
