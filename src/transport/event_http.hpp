// HTTP over evhttp: the server, and a pooled client.
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

class EventHttpServer : public HttpServer {
 public:
  EventHttpServer(EventLoop& loop, size_t max_body, size_t max_connections, double idle_s,
                  Handler handler);
  ~EventHttpServer() override;
  EventHttpServer(const EventHttpServer&) = delete;
  EventHttpServer& operator=(const EventHttpServer&) = delete;
  bool bind(const Endpoint& at) override;
  uint16_t port() const override;
  void tidy() override { bound_connections(); }
  size_t open() const override { return open_.size() + silent_since_.size(); }

 private:
  struct Exchange;
  void on_request(evhttp_request* req);
  void accepted();
  void note_connection(evhttp_connection* connection);
  void bound_connections();
  Task<void> answer(std::shared_ptr<Exchange> exchange, HttpRequest request);
  EventLoop& loop_;
  size_t max_connections_;
  double idle_s_;
  std::deque<double> silent_since_;  // accepted, no request yet
  Handler handler_;
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  struct Connection {
    std::shared_ptr<Exchange> exchange;  // null between requests
    double answered_at = 0;              // the last one
  };
  std::unordered_map<evhttp_connection*, Connection> open_;
};

class EventHttpClient : public HttpClient {
 public:
  explicit EventHttpClient(EventLoop& loop) : loop_(loop) {}
  ~EventHttpClient() override;
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;
  Task<HttpReply> request(Endpoint to, Method method, std::string target, std::string body,
                          double timeout_s) override;
  void trim(double idle_s) override;
  void bound_idle(std::function<size_t()> most) override { most_idle_ = std::move(most); }
  size_t in_use() const override { return in_use_; }
  size_t idle() const override { return by_age_.size(); }

 private:
  struct Call;
  struct Idle {
    std::string to;
    evhttp_connection* connection;
    double since;
  };
  evhttp_connection* take(const Endpoint& to);
  void scale_in(const std::string& to, evhttp_connection* connection);
  void discard(evhttp_connection* connection);
  void close_oldest();
  EventLoop& loop_;
  std::function<size_t()> most_idle_;
  size_t in_use_ = 0;
  std::list<Idle> by_age_;                                                       // the oldest first
  std::unordered_map<std::string, std::deque<std::list<Idle>::iterator>> idle_;  // by endpoint
};

}  // namespace damsonport
