// HTTP as the layers above see it: a server whose handlers are routines, and a client. The
// program's are evhttp's; tests bring their own.
#pragma once
#include <functional>
#include <string>
#include <string_view>

#include "transport/loop.hpp"

namespace damsonport {

struct Endpoint {
  std::string host;
  uint16_t port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};
// "10.0.0.1:80"; IPv4 in numbers only.
bool parse_endpoint(std::string_view text, Endpoint& out);

enum class Method { get, post, del, other };

struct HttpRequest {
  Method method = Method::other;
  std::string path;   // without the query
  std::string query;  // what stands behind the question mark
  std::string body;
  // When the last request on this connection was answered, on the loop's clock: this one was sent
  // after that answer had come, since requests are not pipelined. 0: it is the connection's first.
  double previous_answer_at = 0;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  double retry_after_s = 0;  // 0: no header
  bool close = false;        // the connection is not kept
};

class HttpServer {
 public:
  using Handler = std::function<Task<HttpResponse>(HttpRequest)>;
  virtual ~HttpServer() = default;
  virtual bool bind(const Endpoint& at) = 0;
  virtual uint16_t port() const = 0;
  // Takes connections again when enough have gone; to be called now and then.
  virtual void tidy() = 0;
  virtual size_t open() const = 0;
};

// status 0: no answer came; whether the request was carried out is unknown.
struct HttpReply {
  int status = 0;
  std::string body;
  bool answered() const { return status != 0; }
};

class HttpClient {
 public:
  virtual ~HttpClient() = default;
  virtual Task<HttpReply> request(Endpoint to, Method method, std::string target, std::string body,
                                  double timeout_s) = 0;
  // Closes idle connections that were not used for `idle_s`.
  virtual void trim(double idle_s) = 0;
  // How many idle ones may stay open just now; beyond that the least recently used go.
  virtual void bound_idle(std::function<size_t()> most) = 0;
  virtual size_t in_use() const = 0;
  virtual size_t idle() const = 0;
};

}  // namespace damsonport
