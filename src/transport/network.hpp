/// The network as a controller sees it: what it sends with and listens on. The program's is TCP on
/// libevent (EventNetwork); tests and simulations have their own.
#pragma once
#include <memory>

#include "transport/http.hpp"
#include "transport/stream.hpp"

namespace damsonport {

/// Makes clients, servers and streams. What it makes must not outlive it.
class Network {
 public:
  virtual ~Network() = default;
  virtual std::unique_ptr<HttpClient> client() = 0;
  /// Requests with a body over `max_body` bytes don't reach the handler; connections beyond
  /// `max_connections` are not accepted until others close; those idle for `idle_s` seconds are
  /// closed. The server doesn't listen before HttpServer::bind().
  virtual std::unique_ptr<HttpServer> server(size_t max_body, size_t max_connections, double idle_s,
                                             HttpServer::Handler handler) = 0;
  /// A stream to another controller; connects with the first message.
  virtual std::unique_ptr<StreamLink> link(const Endpoint& to) = 0;
  /// Listens at once; streams beyond `max_streams` are closed.
  virtual std::unique_ptr<StreamListener> listener(const Endpoint& at, size_t max_streams,
                                                   StreamListener::OnBytes on_bytes) = 0;
};

}  // namespace damsonport
