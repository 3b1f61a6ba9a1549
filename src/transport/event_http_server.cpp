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

#include "transport/crash_report.hpp"
#include "transport/event_http.hpp"

namespace damsonport {

namespace {

constexpr int max_header_bytes = 8192;
// Time for which a connection without a request still counts as open after evhttp's idle timeout.
constexpr double close_grace_s = 1;

Method method_of(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return Method::get;
    case EVHTTP_REQ_POST:
      return Method::post;
    case EVHTTP_REQ_DELETE:
      return Method::del;
    default:
      return Method::other;
  }
}

std::string_view name_of(Method method) {
  switch (method) {
    case Method::get:
      return "GET";
    case Method::post:
      return "POST";
    case Method::del:
      return "DELETE";
    case Method::other:
      break;
  }
  return "another method";
}

std::string sender_of(evhttp_connection* connection) {
  char* address = nullptr;
  uint16_t port = 0;
  evhttp_connection_get_peer(connection, &address, &port);
  return std::string(address ? address : "") + ":" + std::to_string(port);
}

void add_headers(evkeyvalq* headers, const HttpResponse& response) {
  if (!response.body.empty()) evhttp_add_header(headers, "Content-Type", "application/cbor");
  if (response.retry_after_s > 0) {
    const auto seconds = std::to_string(static_cast<int>(std::ceil(response.retry_after_s)));
    evhttp_add_header(headers, "Retry-After", seconds.c_str());
  }
  if (response.close) evhttp_add_header(headers, "Connection", "close");
}

}  // namespace

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

// A request that is being handled. `request` is set to null if its connection closes before the
// response is sent.
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
  evhttp_set_max_headers_size(http_, max_header_bytes);
  evhttp_set_timeout(http_, std::max(1, static_cast<int>(idle_s)));
  // All methods are passed to the handler, so that an unsupported method gets the status 405 and
  // not evhttp's 501.
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                        EVHTTP_REQ_TRACE | EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* r, void* self) { static_cast<EventHttpServer*>(self)->on_request(r); },
      this);
  // evhttp calls this callback for every accepted connection.
  evhttp_set_bevcb(
      http_,
      [](event_base* base, void* self) {
        static_cast<EventHttpServer*>(self)->on_accept();
        return bufferevent_socket_new(base, -1, 0);
      },
      this);
}

// evhttp closes a connection on which no request arrives within the idle timeout.
void EventHttpServer::on_accept() {
  awaiting_first_request_.push_back(loop_.now());
  pause_or_resume_accepting();
}

void EventHttpServer::pause_or_resume_accepting() {
  if (!socket_) return;
  const double now = loop_.now();
  std::erase_if(awaiting_first_request_,
                [&](double accepted_at) { return now - accepted_at > idle_s_ + close_grace_s; });
  auto* listener = evhttp_bound_socket_get_listener(socket_);
  if (open_connections() >= max_connections_) {
    evconnlistener_disable(listener);
  } else {
    evconnlistener_enable(listener);
  }
}

void EventHttpServer::track_connection(evhttp_connection* connection) {
  if (!connections_.emplace(connection, Connection{}).second) return;
  if (!awaiting_first_request_.empty()) awaiting_first_request_.pop_front();
  evhttp_connection_set_closecb(connection, &EventHttpServer::on_close, this);
}

void EventHttpServer::on_close(evhttp_connection* connection, void* server) {
  auto* self = static_cast<EventHttpServer*>(server);
  if (auto it = self->connections_.find(connection); it != self->connections_.end()) {
    if (it->second.exchange) it->second.exchange->request = nullptr;
    self->connections_.erase(it);
  }
  self->pause_or_resume_accepting();
}

EventHttpServer::~EventHttpServer() {
  // evhttp_free() frees the socket and calls on_close() for the open connections, which must not
  // use the socket any more.
  socket_ = nullptr;
  evhttp_free(http_);
}

bool EventHttpServer::bind(const Endpoint& at) {
  // The listener is created here because evhttp would resolve the address by a name lookup.
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  evutil_inet_pton(AF_INET, at.host.c_str(), &address.sin_addr);
  auto* listener = evconnlistener_new_bind(
      loop_.base(), nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      // The workers of the whole fleet may connect at the same time.
      static_cast<int>(max_connections_), reinterpret_cast<sockaddr*>(&address), sizeof address);
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

HttpRequest EventHttpServer::read_request(evhttp_request* http_request) {
  HttpRequest request;
  request.method = method_of(evhttp_request_get_command(http_request));
  const std::string_view uri = evhttp_request_get_uri(http_request);
  const auto question_mark = uri.find('?');
  request.path = std::string(uri.substr(0, question_mark));
  if (question_mark != std::string_view::npos)
    request.query = std::string(uri.substr(question_mark + 1));
  evbuffer* input = evhttp_request_get_input_buffer(http_request);
  request.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, request.body.data(), request.body.size());
  return request;
}

void EventHttpServer::on_request(evhttp_request* http_request) {
  HttpRequest request = read_request(http_request);
  track_connection(evhttp_request_get_connection(http_request));
  auto exchange = std::make_shared<Exchange>(Exchange{http_request});
  Connection& connection = connections_[evhttp_request_get_connection(http_request)];
  connection.exchange = exchange;
  request.previous_response_at = connection.responded_at;
  const std::string sender = sender_of(evhttp_request_get_connection(http_request));
  const crash_report::RequestInProgress in_progress(
      {name_of(request.method), request.path, sender, request.body});
  loop_.spawn("request", respond(std::move(exchange), std::move(request)));
}

Task<void> EventHttpServer::respond(std::shared_ptr<Exchange> exchange, HttpRequest request) {
  HttpResponse response;
  try {
    response = co_await handler_(std::move(request));
  } catch (const std::exception& e) {
    spdlog::error("request failed: {}", e.what());
    response = {500, {}, 0};
  }
  evhttp_request* to = exchange->request;
  if (!to) co_return;
  connections_[evhttp_request_get_connection(to)] = {nullptr, loop_.now()};
  add_headers(evhttp_request_get_output_headers(to), response);
  evbuffer_add(evhttp_request_get_output_buffer(to), response.body.data(), response.body.size());
  evhttp_send_reply(to, response.status, nullptr, nullptr);
}

}  // namespace damsonport
