/// HTTP as the layers above see it: a server whose handlers are coroutines, and a client. The
/// program's are evhttp's (EventHttpServer, EventHttpClient); tests bring their own.
#pragma once
#include <functional>
#include <string>
#include <string_view>

#include "transport/loop.hpp"

namespace damsonport {

/// An IPv4 address in numbers, and a TCP port.
struct Endpoint {
  std::string host;
  uint16_t port = 0;
  /// "10.0.0.1:80"
  std::string text() const { return host + ":" + std::to_string(port); }
};

/// Parses the form of Endpoint::text(); false for any other, a host name among them, and then `out`
/// keeps its value.
bool parse_endpoint(std::string_view text, Endpoint& out);

enum class Method { get, post, del, other };

struct HttpRequest {
  Method method = Method::other;
  std::string path;   ///< without the query
  std::string query;  ///< what stands behind the question mark
  std::string body;
  /// When the last request on this connection was answered, on the loop's clock: this one was sent
  /// after that answer had come, since requests are not pipelined. 0: it is the connection's first.
  double previous_response_at = 0;
};

/// A server's response.
struct HttpResponse {
  int status = 200;
  std::string body;          ///< CBOR, or empty
  double retry_after_s = 0;  ///< header Retry-After, rounded up to whole seconds; 0: none
  bool close = false;        ///< the connection is closed after the response
};

class HttpServer {
 public:
  /// Called for each request. The request may outlive the connection: then the response is dropped.
  using Handler = std::function<Task<HttpResponse>(HttpRequest)>;
  virtual ~HttpServer() = default;
  /// Listens; false where the address can't be listened on.
  virtual bool bind(const Endpoint& at) = 0;
  /// The port that it listens on, valid after bind().
  virtual uint16_t port() const = 0;
  /// Accepts connections again where enough have closed; to be called now and then.
  virtual void resume_accepting() = 0;
  /// Open connections.
  virtual size_t open_connections() const = 0;
};

/// What a client's request yields. Status 0: no response arrived, and whether the request was
/// carried out is unknown.
struct HttpClientResponse {
  int status = 0;
  std::string body;
  bool answered() const { return status != 0; }
};

class HttpClient {
 public:
  virtual ~HttpClient() = default;
  /// Sends a request and waits for the response, `timeout_s` seconds at the most. `target`: path
  /// and query. Never throws for a failure of the network.
  virtual Task<HttpClientResponse> request(Endpoint to, Method method, std::string target,
                                           std::string body, double timeout_s) = 0;
  /// Closes idle connections that were not used for `idle_s` seconds.
  virtual void close_idle_connections(double idle_s) = 0;
  /// `most` yields how many idle connections may stay open just now; beyond that the least recently
  /// used ones are closed.
  virtual void set_idle_limit(std::function<size_t()> limit) = 0;
  /// Requests in progress.
  virtual size_t requests_in_progress() const = 0;
  /// Idle connections.
  virtual size_t idle_connections() const = 0;
};

}  // namespace damsonport
