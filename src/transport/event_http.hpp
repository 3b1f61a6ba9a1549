/// HTTP server, and HTTP client with a connection pool, on evhttp of libevent.
#pragma once
#include <deque>
#include <list>
#include <memory>
#include <unordered_map>

#include "transport/event_loop.hpp"
#include "transport/http.hpp"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp;
struct evhttp_request;
struct evhttp_connection;
struct evhttp_bound_socket;

namespace damsonport {

/// HTTP server that handles each request in a separate background task.
///
/// While the number of connections is at its limit, a new connection replaces the one that has been
/// without a whole request for longest. Without such a connection the server doesn't accept new
/// ones: they wait in the backlog of the listening socket. The server owns the evhttp object, which
/// owns the connections.
class EventHttpServer : public HttpServer {
 public:
  EventHttpServer(EventLoop& loop, const HttpServerLimits& limits, Handler handler);
  ~EventHttpServer() override;
  EventHttpServer(const EventHttpServer&) = delete;
  EventHttpServer& operator=(const EventHttpServer&) = delete;
  bool bind(const Endpoint& at) override;
  uint16_t port() const override;
  void resume_accepting() override { pause_or_resume_accepting(); }
  size_t open_connections() const override { return connections_.size(); }

 private:
  struct Exchange;
  struct Connection;
  static HttpRequest read_request(evhttp_request* http_request);
  static void on_close(evhttp_connection* connection, void* server);
  static void on_input(evbuffer* input, const evbuffer_cb_info* change, void* connection);
  void on_request(evhttp_request* http_request);
  bufferevent* on_accept();
  void on_sweep();
  void drop(Connection& connection);
  void begin_request(Connection& connection);
  void end_request(Connection& connection);
  void note_received(Connection& connection, size_t bytes);
  bool close_oldest_incomplete();
  double sweep_interval_s() const;
  bool is_overdue(const Connection& connection) const;
  bool has_replaceable_connection() const;
  void pause_or_resume_accepting();
  Task<void> respond(std::shared_ptr<Exchange> exchange, HttpRequest request);

  EventLoop& loop_;
  HttpServerLimits limits_;
  Handler handler_;
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  std::unique_ptr<Timer> sweep_timer_;
  std::unordered_map<bufferevent*, std::unique_ptr<Connection>> connections_;
  // The connections on which a request has begun, or on which none has arrived yet, in this order
  // of time.
  std::list<Connection*> incomplete_;
  size_t incomplete_bytes_ = 0;  // received of the requests that are incomplete
  double last_sweep_at_;
  bool is_behind_ = false;  // whether the last sweep was late, so that bytes may wait to be read
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
