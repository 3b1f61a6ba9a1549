#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <cmath>

#include "transport/event_http.hpp"

namespace damsonport {

namespace {

// Timeout of evhttp, longer than the timeout of any request, which PendingRequest's timer enforces.
constexpr int connection_timeout_s = 120;

evhttp_cmd_type command_of(Method method) {
  switch (method) {
    case Method::get:
      return EVHTTP_REQ_GET;
    case Method::post:
      return EVHTTP_REQ_POST;
    case Method::del:
    case Method::other:
      break;
  }
  return EVHTTP_REQ_DELETE;
}

timeval to_timeval(double seconds) {
  constexpr double us_per_s = 1e6;
  const double whole_s = std::floor(seconds);
  return {static_cast<time_t>(whole_s), static_cast<suseconds_t>((seconds - whole_s) * us_per_s)};
}

}  // namespace

// Awaitable for one request in progress, which lives in the coroutine frame of request(). The timer
// limits the duration of the request. It also resumes the waiting coroutine once the response is
// complete.
struct EventHttpClient::PendingRequest {
  EventHttpClient& client;
  Endpoint to;
  Method method;
  std::string target;
  std::string body;
  double timeout_s;
  HttpClientResponse response;
  std::coroutine_handle<> waiter;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  event* timer = nullptr;
  bool done = false;

  ~PendingRequest() {
    if (timer) event_free(timer);
  }
  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> h) {
    waiter = h;
    start();
  }
  HttpClientResponse await_resume() { return std::move(response); }

  void start() {
    connection = client.take_connection(to);
    timer = evtimer_new(
        client.loop_.base(),
        [](evutil_socket_t, short, void* self) { static_cast<PendingRequest*>(self)->finish(); },
        this);
    const timeval timeout = to_timeval(timeout_s);
    event_add(timer, &timeout);
    // Without a connection, the request fails when the timer fires, because the coroutine must not
    // be resumed from inside await_suspend().
    if (connection) send();
  }

  void send() {
    request = evhttp_request_new(
        [](evhttp_request* r, void* self) { static_cast<PendingRequest*>(self)->complete(r); },
        this);
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", to.text().c_str());
    if (!body.empty()) {
      evhttp_add_header(headers, "Content-Type", "application/cbor");
      evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    }
    // If evhttp_make_request() fails, it frees the request and may not call the callback.
    if (evhttp_make_request(connection, request, command_of(method), target.c_str()) != 0)
      request = nullptr;
  }

  // Called by evhttp when the response has arrived, or when the request has failed.
  void complete(evhttp_request* r) {
    if (done) return;
    if (r) {
      response.status = evhttp_request_get_response_code(r);
      evbuffer* input = evhttp_request_get_input_buffer(r);
      if (response.status != 0) {
        response.body.resize(evbuffer_get_length(input));
        evbuffer_remove(input, response.body.data(), response.body.size());
      }
    }
    request = nullptr;
    done = true;
    // The event loop resumes the coroutine. It must not be resumed from the callback of evhttp,
    // which still uses the connection.
    event_active(timer, EV_TIMEOUT, 0);
  }

  // Called by the timer, when the request is complete or has timed out.
  void finish() {
    if (!done) {
      done = true;
      if (request) evhttp_cancel_request(request);
      request = nullptr;
    }
    release_connection();
    waiter.resume();
  }

  void release_connection() {
    --client.requests_in_progress_;
    if (connection && response.answered()) {
      client.keep_connection(to.text(), connection);
    } else if (connection) {
      client.discard_connection(connection);
    }
    connection = nullptr;
  }
};

EventHttpClient::~EventHttpClient() {
  for (auto& idle : idle_by_age_) evhttp_connection_free(idle.connection);
}

evhttp_connection* EventHttpClient::take_connection(const Endpoint& to) {
  ++requests_in_progress_;
  if (auto it = idle_by_endpoint_.find(to.text()); it != idle_by_endpoint_.end()) {
    auto newest = it->second.back();
    auto* connection = newest->connection;
    it->second.pop_back();
    if (it->second.empty()) idle_by_endpoint_.erase(it);
    idle_by_age_.erase(newest);
    return connection;
  }
  auto* connection = evhttp_connection_base_new(loop_.base(), nullptr, to.host.c_str(), to.port);
  if (connection) evhttp_connection_set_timeout(connection, connection_timeout_s);
  return connection;
}

void EventHttpClient::keep_connection(const std::string& to, evhttp_connection* connection) {
  idle_by_age_.push_back({to, connection, loop_.now()});
  idle_by_endpoint_[to].push_back(std::prev(idle_by_age_.end()));
  if (!idle_limit_) return;
  const size_t limit = idle_limit_();
  while (idle_by_age_.size() > limit) close_least_recently_used();
}

void EventHttpClient::discard_connection(evhttp_connection* connection) {
  evhttp_connection_free(connection);
}

void EventHttpClient::close_least_recently_used() {
  auto& oldest = idle_by_age_.front();
  auto it = idle_by_endpoint_.find(oldest.to);
  it->second.pop_front();
  if (it->second.empty()) idle_by_endpoint_.erase(it);
  evhttp_connection_free(oldest.connection);
  idle_by_age_.pop_front();
}

void EventHttpClient::close_idle_connections(double idle_s) {
  const double before = loop_.now() - idle_s;
  while (!idle_by_age_.empty() && idle_by_age_.front().since < before) close_least_recently_used();
}

Task<HttpClientResponse> EventHttpClient::request(Endpoint to, Method method, std::string target,
                                                  std::string body, double timeout_s) {
  PendingRequest pending{*this,           std::move(to), method, std::move(target),
                         std::move(body), timeout_s,     {},     {}};
  co_return co_await pending;
}

}  // namespace damsonport
