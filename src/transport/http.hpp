// HTTP over evhttp: a server whose handlers are routines, and a pooled client.
#pragma once
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "transport/loop.hpp"

struct evhttp;
struct evhttp_request;
struct evhttp_connection;
struct evhttp_bound_socket;

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
  std::string path;  // without the query
  std::string body;
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
  HttpServer(Loop& loop, size_t max_body, size_t max_connections, double idle_s, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  bool bind(const Endpoint& at);
  uint16_t port() const;
  // Takes connections again when enough have gone; to be called now and then.
  void tidy() { bound_connections(); }
  size_t open() const { return open_.size() + silent_since_.size(); }
  // So many are open that those of less use should not stay.
  bool crowded() const {
    return static_cast<double>(open()) > crowded_share * static_cast<double>(max_connections_);
  }

 private:
  struct Exchange;
  static constexpr double crowded_share = 0.75;
  void on_request(evhttp_request* req);
  void accepted();
  void note_connection(evhttp_connection* connection);
  void bound_connections();
  Task<void> answer(std::shared_ptr<Exchange> exchange, HttpRequest request);
  Loop& loop_;
  size_t max_connections_;
  double idle_s_;
  std::deque<double> silent_since_;  // accepted, no request yet
  Handler handler_;
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  // What each open connection is being answered, null between requests.
  std::unordered_map<evhttp_connection*, std::shared_ptr<Exchange>> open_;
};

// status 0: no answer came; whether the request was carried out is unknown.
struct HttpReply {
  int status = 0;
  std::string body;
  bool answered() const { return status != 0; }
};

class HttpClient {
 public:
  explicit HttpClient(Loop& loop) : loop_(loop) {}
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  Task<HttpReply> request(Endpoint to, Method method, std::string target, std::string body,
                          double timeout_s);
  // Closes idle connections that were not used for `idle_s`.
  void trim(double idle_s);
  // How many idle ones may stay open just now; beyond that the least recently used go.
  void bound_idle(std::function<size_t()> most) { most_idle_ = std::move(most); }
  size_t in_use() const { return in_use_; }
  size_t idle() const { return by_age_.size(); }

 private:
  struct Call;
  struct Idle {
    std::string to;
    evhttp_connection* connection;
    double since;
  };
  evhttp_connection* take(const Endpoint& to);
  void give_back(const std::string& to, evhttp_connection* connection);
  void discard(evhttp_connection* connection);
  void close_oldest();
  Loop& loop_;
  std::function<size_t()> most_idle_;
  size_t in_use_ = 0;
  std::list<Idle> by_age_;                                                       // the oldest first
  std::unordered_map<std::string, std::deque<std::list<Idle>::iterator>> idle_;  // by endpoint
};

}  // namespace damsonport
