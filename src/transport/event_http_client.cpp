#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <cmath>

#include "transport/event_http.hpp"

namespace damsonport {

struct EventHttpClient::Call {
  EventHttpClient& client;
  Endpoint to;
  Method method;
  std::string target;
  std::string body;
  double timeout_s;
  HttpReply reply;
  std::coroutine_handle<> waiter;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  event* timer = nullptr;
  bool done = false;

  ~Call() {
    if (timer) event_free(timer);
  }
  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> h) {
    waiter = h;
    start();
  }
  HttpReply await_resume() { return std::move(reply); }

  void start() {
    connection = client.take(to);
    timer = evtimer_new(
        client.loop_.base(),
        [](evutil_socket_t, short, void* self) { static_cast<Call*>(self)->expire(); }, this);
    const double whole_s = std::floor(timeout_s);
    timeval tv{static_cast<time_t>(whole_s), static_cast<suseconds_t>((timeout_s - whole_s) * 1e6)};
    event_add(timer, &tv);
    if (!connection) return;  // the timer reports it: never resume from inside await_suspend
    request = evhttp_request_new(
        [](evhttp_request* r, void* self) { static_cast<Call*>(self)->complete(r); }, this);
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", to.text().c_str());
    if (!body.empty()) {
      evhttp_add_header(headers, "Content-Type", "application/cbor");
      evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    }
    auto command = method == Method::get    ? EVHTTP_REQ_GET
                   : method == Method::post ? EVHTTP_REQ_POST
                                            : EVHTTP_REQ_DELETE;
    if (evhttp_make_request(connection, request, command, target.c_str()) != 0) {
      // evhttp has freed the request and may not have called back.
      request = nullptr;
    }
  }
  void complete(evhttp_request* r) {
    if (done) return;
    if (r) {
      reply.status = evhttp_request_get_response_code(r);
      evbuffer* input = evhttp_request_get_input_buffer(r);
      if (reply.status != 0) {
        reply.body.resize(evbuffer_get_length(input));
        evbuffer_remove(input, reply.body.data(), reply.body.size());
      }
    }
    request = nullptr;
    done = true;
    // Resumed from the loop, not from evhttp's stack, which still uses the connection.
    event_active(timer, EV_TIMEOUT, 0);
  }
  void expire() {
    if (!done) {
      done = true;
      if (request) evhttp_cancel_request(request);
      request = nullptr;
    }
    if (connection) {
      if (reply.answered()) {
        client.scale_in(to.text(), connection);
      } else {
        client.discard(connection);
      }
    } else {
      --client.in_use_;
    }
    connection = nullptr;
    waiter.resume();
  }
};

EventHttpClient::~EventHttpClient() {
  for (auto& idle : by_age_) evhttp_connection_free(idle.connection);
}

evhttp_connection* EventHttpClient::take(const Endpoint& to) {
  ++in_use_;
  if (auto it = idle_.find(to.text()); it != idle_.end()) {
    auto newest = it->second.back();
    auto* connection = newest->connection;
    it->second.pop_back();
    if (it->second.empty()) idle_.erase(it);
    by_age_.erase(newest);
    return connection;
  }
  auto* connection = evhttp_connection_base_new(loop_.base(), nullptr, to.host.c_str(), to.port);
  if (connection) evhttp_connection_set_timeout(connection, 120);
  return connection;
}

void EventHttpClient::scale_in(const std::string& to, evhttp_connection* connection) {
  --in_use_;
  by_age_.push_back({to, connection, loop_.now()});
  idle_[to].push_back(std::prev(by_age_.end()));
  if (!most_idle_) return;
  for (size_t most = most_idle_(); by_age_.size() > most;) close_oldest();
}

void EventHttpClient::discard(evhttp_connection* connection) {
  --in_use_;
  evhttp_connection_free(connection);
}

void EventHttpClient::close_oldest() {
  auto& oldest = by_age_.front();
  auto it = idle_.find(oldest.to);
  it->second.pop_front();  // those of one endpoint are in the same order
  if (it->second.empty()) idle_.erase(it);
  evhttp_connection_free(oldest.connection);
  by_age_.pop_front();
}

void EventHttpClient::trim(double idle_s) {
  const double before = loop_.now() - idle_s;
  while (!by_age_.empty() && by_age_.front().since < before) close_oldest();
}

Task<HttpReply> EventHttpClient::request(Endpoint to, Method method, std::string target,
                                         std::string body, double timeout_s) {
  Call call{*this, std::move(to), method, std::move(target), std::move(body), timeout_s, {}, {}};
  co_return co_await call;
}

}  // namespace damsonport
