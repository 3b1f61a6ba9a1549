#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>

#include <charconv>
#include <cmath>
#include <stdexcept>

#include "transport/event_http.hpp"

namespace damsonport {

bool parse_endpoint(std::string_view text, Endpoint& out) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  in_addr ignored{};
  std::string host(text.substr(0, colon));
  if (evutil_inet_pton(AF_INET, host.c_str(), &ignored) != 1) return false;
  unsigned port = 0;
  auto tail = text.substr(colon + 1);
  auto [end, err] = std::from_chars(tail.data(), tail.data() + tail.size(), port);
  if (err != std::errc{} || end != tail.data() + tail.size() || port > 65535) return false;
  out = {std::move(host), static_cast<uint16_t>(port)};
  return true;
}

// A request being answered; `request` is cleared when its connection goes away first.
struct EventHttpServer::Exchange {
  evhttp_request* request;
};

EventHttpServer::EventHttpServer(EventLoop& loop, size_t max_body, size_t max_connections,
                                 double idle_s, Handler handler)
    : loop_(loop),
      max_connections_(max_connections),
      idle_s_(idle_s),
      handler_(std::move(handler)),
      http_(evhttp_new(loop.base())) {
  if (!http_) throw std::runtime_error("cannot create the HTTP server");
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(max_body));
  evhttp_set_max_headers_size(http_, 8192);
  evhttp_set_timeout(http_, std::max(1, static_cast<int>(idle_s)));
  // All methods reach the handler, so that a wrong one gets 405 and not evhttp's 501.
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                        EVHTTP_REQ_TRACE | EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* r, void* self) { static_cast<EventHttpServer*>(self)->on_request(r); },
      this);
  // Called for every accepted connection.
  evhttp_set_bevcb(
      http_,
      [](event_base* base, void* self) {
        static_cast<EventHttpServer*>(self)->accepted();
        return bufferevent_socket_new(base, -1, 0);
      },
      this);
}

// The number of connections is bounded by not accepting: those beyond wait in the backlog. evhttp
// tells of a connection only with its first request, so until then it counts as silent, and a
// silent one is closed by evhttp after the idle time.
void EventHttpServer::accepted() {
  silent_since_.push_back(loop_.now());
  bound_connections();
}

void EventHttpServer::bound_connections() {
  if (!socket_) return;
  const double now = loop_.now();
  std::erase_if(silent_since_, [&](double since) { return now - since > idle_s_ + 1; });
  auto* listener = evhttp_bound_socket_get_listener(socket_);
  if (open() >= max_connections_) {
    evconnlistener_disable(listener);
  } else {
    evconnlistener_enable(listener);
  }
}

void EventHttpServer::note_connection(evhttp_connection* connection) {
  if (!open_.emplace(connection, Connection{}).second) return;
  if (!silent_since_.empty()) silent_since_.pop_front();
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* c, void* arg) {
        auto* self = static_cast<EventHttpServer*>(arg);
        if (auto it = self->open_.find(c); it != self->open_.end()) {
          if (it->second.exchange) it->second.exchange->request = nullptr;
          self->open_.erase(it);
        }
        self->bound_connections();
      },
      this);
}

EventHttpServer::~EventHttpServer() {
  // Freed with the rest, and connections closing meanwhile must not touch it.
  socket_ = nullptr;
  evhttp_free(http_);
}

bool EventHttpServer::bind(const Endpoint& at) {
  // Bound here and not by evhttp, which would look the address up.
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(at.port);
  evutil_inet_pton(AF_INET, at.host.c_str(), &a.sin_addr);
  auto* listener = evconnlistener_new_bind(
      loop_.base(), nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      // A whole fleet may come at once.
      static_cast<int>(max_connections_), reinterpret_cast<sockaddr*>(&a), sizeof a);
  if (!listener) return false;
  socket_ = evhttp_bind_listener(http_, listener);
  return socket_ != nullptr;
}

uint16_t EventHttpServer::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(evhttp_bound_socket_get_fd(socket_), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void EventHttpServer::on_request(evhttp_request* req) {
  HttpRequest request;
  switch (evhttp_request_get_command(req)) {
    case EVHTTP_REQ_GET:
      request.method = Method::get;
      break;
    case EVHTTP_REQ_POST:
      request.method = Method::post;
      break;
    case EVHTTP_REQ_DELETE:
      request.method = Method::del;
      break;
    default:
      request.method = Method::other;
  }
  std::string_view uri = evhttp_request_get_uri(req);
  const auto question = uri.find('?');
  request.path = std::string(uri.substr(0, question));
  if (question != std::string_view::npos) request.query = std::string(uri.substr(question + 1));
  evbuffer* input = evhttp_request_get_input_buffer(req);
  request.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, request.body.data(), request.body.size());
  note_connection(evhttp_request_get_connection(req));
  auto exchange = std::make_shared<Exchange>(Exchange{req});
  Connection& connection = open_[evhttp_request_get_connection(req)];
  connection.exchange = exchange;
  request.previous_answer_at = connection.answered_at;
  loop_.spawn("request", answer(std::move(exchange), std::move(request)));
}

Task<void> EventHttpServer::answer(std::shared_ptr<Exchange> exchange, HttpRequest request) {
  HttpResponse response;
  try {
    response = co_await handler_(std::move(request));
  } catch (const std::exception& e) {
    spdlog::error("request failed: {}", e.what());
    response = {500, {}, 0};
  }
  evhttp_request* req = exchange->request;
  if (!req) co_return;
  open_[evhttp_request_get_connection(req)] = {nullptr, loop_.now()};
  auto* headers = evhttp_request_get_output_headers(req);
  if (!response.body.empty()) evhttp_add_header(headers, "Content-Type", "application/cbor");
  if (response.retry_after_s > 0) {
    auto seconds = std::to_string(static_cast<int>(std::ceil(response.retry_after_s)));
    evhttp_add_header(headers, "Retry-After", seconds.c_str());
  }
  if (response.close) evhttp_add_header(headers, "Connection", "close");
  evbuffer_add(evhttp_request_get_output_buffer(req), response.body.data(), response.body.size());
  evhttp_send_reply(req, response.status, nullptr, nullptr);
}

}  // namespace damsonport
