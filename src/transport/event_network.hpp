/// Network of the `damsonport` program: TCP on libevent.
#pragma once
#include "transport/event_loop.hpp"
#include "transport/network.hpp"

namespace damsonport {

/// Creates clients, servers and streams that run on the given loop. The loop must outlive all of
/// them.
class EventNetwork : public Network {
 public:
  explicit EventNetwork(EventLoop& loop) : loop_(loop) {}
  std::unique_ptr<HttpClient> client() override;
  std::unique_ptr<HttpServer> server(const HttpServerLimits& limits,
                                     HttpServer::Handler handler) override;
  std::unique_ptr<StreamLink> link(const Endpoint& to) override;
  std::unique_ptr<StreamListener> listener(const Endpoint& at, size_t max_streams,
                                           StreamListener::OnBytes on_bytes) override;

 private:
  EventLoop& loop_;
};

}  // namespace damsonport
