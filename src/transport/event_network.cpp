#include "transport/event_network.hpp"

#include "transport/event_http.hpp"
#include "transport/event_stream.hpp"

namespace damsonport {

std::unique_ptr<HttpClient> EventNetwork::client() {
  return std::make_unique<EventHttpClient>(loop_);
}

std::unique_ptr<HttpServer> EventNetwork::server(const HttpServerLimits& limits,
                                                 HttpServer::Handler handler) {
  return std::make_unique<EventHttpServer>(loop_, limits, std::move(handler));
}

std::unique_ptr<StreamLink> EventNetwork::link(const Endpoint& to) {
  return std::make_unique<EventStreamLink>(loop_, to);
}

std::unique_ptr<StreamListener> EventNetwork::listener(const Endpoint& at, size_t max_streams,
                                                       StreamListener::OnBytes on_bytes) {
  return std::make_unique<EventStreamListener>(loop_, at, max_streams, std::move(on_bytes));
}

}  // namespace damsonport
