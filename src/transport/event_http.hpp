/// HTTP server, and HTTP client with a connection pool, on evhttp of libevent.
#pragma once
#include <deque>
#include <list>
#include <memory>
#include <unordered_map>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"

struct evhttp;
struct evhttp_request;
struct evhttp_connection;
struct evhttp_bound_socket;

namespace damsonport {

/// HTTP server that handles each request in a separate background task.
///
/// While the number of connections is at its limit, the server doesn't accept new connections: they
/// wait in the backlog of the listening socket. The server owns the evhttp object, which owns the
/// connections.
class EventHttpServer : public HttpServer {
 public:
  EventHttpServer(EventLoop& loop, size_t max_body, size_t max_connections, double idle_s,
                  Handler handler);
  ~EventHttpServer() override;
  EventHttpServer(const EventHttpServer&) = delete;
  EventHttpServer& operator=(const EventHttpServer&) = delete;
  bool bind(const Endpoint& at) override;
  uint16_t port() const override;
  void resume_accepting() override { pause_or_resume_accepting(); }
  size_t open_connections() const override {
    return connections_.size() + awaiting_first_request_.size();
  }

 private:
  struct Exchange;
  struct Connection {
    std::shared_ptr<Exchange> exchange;  // null between requests
    double responded_at = 0;             // time of the last response, 0: none
  };
  static HttpRequest read_request(evhttp_request* http_request);
  static void on_close(evhttp_connection* connection, void* server);
  void on_request(evhttp_request* http_request);
  void on_accept();
  void track_connection(evhttp_connection* connection);
  void pause_or_resume_accepting();
  Task<void> respond(std::shared_ptr<Exchange> exchange, HttpRequest request);

  EventLoop& loop_;
  size_t max_connections_;
  double idle_s_;
  Handler handler_;
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  // Times at which the connections without any request so far were accepted. evhttp makes a
  // connection accessible only with its first request.
  std::deque<double> awaiting_first_request_;
  std::unordered_map<evhttp_connection*, Connection> connections_;
};

/// HTTP client that keeps a connection open after a response, for the next request to the same
/// endpoint.
///
/// The client must outlive its requests in progress, whose coroutines refer to the client.
class EventHttpClient : public HttpClient {
 public:
  explicit EventHttpClient(EventLoop& loop) : loop_(loop) {}
  ~EventHttpClient() override;
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;
  Task<HttpClientResponse> request(Endpoint to, Method method, std::string target, std::string body,
                                   double timeout_s) override;
  void close_idle_connections(double idle_s) override;
  void set_idle_limit(std::function<size_t()> limit) override { idle_limit_ = std::move(limit); }
  size_t requests_in_progress() const override { return requests_in_progress_; }
  size_t idle_connections() const override { return idle_by_age_.size(); }

 private:
  struct PendingRequest;
  struct IdleConnection {
    std::string to;
    evhttp_connection* connection;
    double since;
  };
  using IdleList = std::list<IdleConnection>;

  evhttp_connection* take_connection(const Endpoint& to);
  void keep_connection(const std::string& to, evhttp_connection* connection);
  void discard_connection(evhttp_connection* connection);
  void close_least_recently_used();

  EventLoop& loop_;
  std::function<size_t()> idle_limit_;
  size_t requests_in_progress_ = 0;
  IdleList idle_by_age_;  // least recently used first
  // Iterators into `idle_by_age_`, by endpoint and in the same order.
  std::unordered_map<std::string, std::deque<IdleList::iterator>> idle_by_endpoint_;
};

}  // namespace damsonport
