// How a controller reaches the world, and is reached. The program's network is TCP on libevent.
#pragma once
#include <memory>

#include "transport/http.hpp"
#include "transport/stream.hpp"

namespace damsonport {

class Network {
 public:
  virtual ~Network() = default;
  virtual std::unique_ptr<HttpClient> client() = 0;
  // Bodies over `max_body` are not handled; connections idle for `idle_s` are closed.
  virtual std::unique_ptr<HttpServer> server(size_t max_body, size_t max_connections, double idle_s,
                                             HttpServer::Handler handler) = 0;
  virtual std::unique_ptr<StreamLink> link(const Endpoint& to) = 0;
  virtual std::unique_ptr<StreamListener> listener(const Endpoint& at, size_t max_streams,
                                                   StreamListener::OnBytes on_bytes) = 0;
};

}  // namespace damsonport
