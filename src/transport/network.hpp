/// Interface through which a controller uses the network. The program uses EventNetwork, which is
/// TCP on libevent; simulations have their own implementation.
#pragma once
#include <memory>

#include "transport/http.hpp"
#include "transport/stream.hpp"

namespace damsonport {

/// Creates HTTP clients and servers, and streams. The created objects must not outlive the network.
class Network {
 public:
  virtual ~Network() = default;
  /// Creates an HTTP client.
  virtual std::unique_ptr<HttpClient> client() = 0;
  /// Creates an HTTP server, which doesn't listen before HttpServer::bind().
  virtual std::unique_ptr<HttpServer> server(const HttpServerLimits& limits,
                                             HttpServer::Handler handler) = 0;
  /// Creates an outgoing stream to another controller. It connects with the first message.
  virtual std::unique_ptr<StreamLink> link(const Endpoint& to) = 0;
  /// Creates a listener, which listens at once. Incoming streams beyond `max_streams` are closed.
  virtual std::unique_ptr<StreamListener> listener(const Endpoint& at, size_t max_streams,
                                                   StreamListener::OnBytes on_bytes) = 0;
};

}  // namespace damsonport
