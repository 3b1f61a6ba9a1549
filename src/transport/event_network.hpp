/// The program's network: TCP on libevent.
#pragma once
#include "transport/event_loop.hpp"
#include "transport/network.hpp"

namespace damsonport {

/// Everything that it makes runs on the given loop, which has to outlive it.
class EventNetwork : public Network {
 public:
  explicit EventNetwork(EventLoop& loop) : loop_(loop) {}
  std::unique_ptr<HttpClient> client() override;
  std::unique_ptr<HttpServer> server(size_t max_body, size_t max_connections, double idle_s,
                                     HttpServer::Handler handler) override;
  std::unique_ptr<StreamLink> link(const Endpoint& to) override;
  std::unique_ptr<StreamListener> listener(const Endpoint& at, size_t max_streams,
                                           StreamListener::OnBytes on_bytes) override;

 private:
  EventLoop& loop_;
};

}  // namespace damsonport
