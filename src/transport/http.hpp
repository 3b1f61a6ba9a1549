/// Interfaces of an HTTP server, whose handlers are coroutines, and of an HTTP client. The program
/// uses EventHttpServer and EventHttpClient; simulations have their own implementations.
#pragma once
#include <functional>
#include <string>
#include <string_view>

#include "transport/loop.hpp"

namespace damsonport {

/// A numeric IPv4 address and a TCP port.
struct Endpoint {
  std::string host;
  uint16_t port = 0;
  /// Returns the text form, for example "10.0.0.1:80".
  std::string text() const { return host + ":" + std::to_string(port); }
};

/// Parses the form of Endpoint::text(). Returns false for any other text, including host names;
/// `out` keeps its value then.
bool parse_endpoint(std::string_view text, Endpoint& out);

/// HTTP methods; `del` is DELETE, and `other` any method that the controller doesn't serve.
enum class Method { get, post, del, other };

/// A request that a server has received.
struct HttpRequest {
  Method method = Method::other;
  std::string path;   ///< without the query
  std::string query;  ///< part after the question mark
  std::string body;
  /// Time on the loop's clock at which the previous request on the same connection got its
  /// response, or 0 for the first request. The client sent this request after that response had
  /// arrived, because requests are not pipelined.
  double previous_response_at = 0;
};

/// The response of a server to a request.
struct HttpResponse {
  int status = 200;
  std::string body;          ///< CBOR, or empty
  double retry_after_s = 0;  ///< header Retry-After, sent rounded up to whole seconds; 0: none
  bool close = false;        ///< whether to close the connection after the response
  /// Why the request was refused with 400, for the log; not sent, and without the sender's bytes.
  std::string refusal_reason = {};
};

/// Limits of an HTTP server.
struct HttpServerLimits {
  size_t max_body = 0;  ///< bytes; requests with a longer body are not passed to the handler
  /// Connections beyond this number are not accepted until others close, or replace those that
  /// have sent no whole request, the oldest of them first.
  size_t max_connections = 0;
  double idle_s = 0;     ///< a connection without a request is closed after this time
  double request_s = 0;  ///< maximum time from the first to the last byte of a request
};

/// An HTTP server.
class HttpServer {
 public:
  /// Handler that is called for each request. If the connection closes before the handler has
  /// finished, the response is dropped.
  using Handler = std::function<Task<HttpResponse>(HttpRequest)>;
  virtual ~HttpServer() = default;
  /// Starts to listen. Returns false if the server can't listen on the address.
  virtual bool bind(const Endpoint& at) = 0;
  /// The port on which the server listens. Valid after a successful bind().
  virtual uint16_t port() const = 0;
  /// Accepts connections again if enough connections have closed. Must be called periodically.
  virtual void resume_accepting() = 0;
  /// Number of open connections.
  virtual size_t open_connections() const = 0;
};

/// Result of a client's request. A status of 0 means that no response has arrived; whether the
/// server has executed the request is unknown then.
struct HttpClientResponse {
  int status = 0;
  std::string body;
  bool answered() const { return status != 0; }
};

/// An HTTP client.
class HttpClient {
 public:
  virtual ~HttpClient() = default;
  /// Sends a request and waits for the response for at most `timeout_s` seconds. `target` is the
  /// path with the query. Network failures don't throw; see HttpClientResponse.
  virtual Task<HttpClientResponse> request(Endpoint to, Method method, std::string target,
                                           std::string body, double timeout_s) = 0;
  /// Closes connections that have been idle for more than `idle_s` seconds.
  virtual void close_idle_connections(double idle_s) = 0;
  /// Sets a function that returns the present limit of idle connections. When a connection becomes
  /// idle, the least recently used connections beyond the limit are closed.
  virtual void set_idle_limit(std::function<size_t()> limit) = 0;
  /// Number of requests in progress.
  virtual size_t requests_in_progress() const = 0;
  /// Number of idle connections.
  virtual size_t idle_connections() const = 0;
};

}  // namespace damsonport
