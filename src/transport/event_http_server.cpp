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
#include <utility>
#include <vector>

#include "transport/crash_report.hpp"
#include "transport/event_http.hpp"

namespace damsonport {

namespace {

constexpr int max_header_bytes = 8192;
/// Number of longest bodies that incomplete requests may take in memory together.
constexpr size_t max_incomplete_bodies = 64;
/// A connection can be replaced by a new one if it has been without a whole request for this share
/// of the time that a request may take.
constexpr double replaceable_share = 0.05;
/// The process is behind if a sweep is late by more than this number of its intervals.
constexpr double max_sweep_delay_intervals = 2;
/// A request may take this many times as long if the process is behind.
constexpr double time_factor_if_behind = 2;

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

// A request line may name the whole URI, as for a proxy (RFC 9112, section 3.2.2).
std::string_view path_and_query(std::string_view target) {
  constexpr std::string_view scheme_end = "://";
  const auto scheme = target.find(scheme_end);
  if (target.starts_with('/') || scheme == std::string_view::npos) return target;
  const auto path = target.find('/', scheme + scheme_end.size());
  return path == std::string_view::npos ? "/" : target.substr(path);
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

// An open connection. evhttp makes its own object accessible only with the first whole request, so
// the connection is known by its stream, to which it holds a reference.
struct EventHttpServer::Connection {
  Connection(EventHttpServer* owner, bufferevent* known_by, double accepted_at)
      : server(owner), stream(known_by), incomplete_since(accepted_at) {}

  EventHttpServer* server;
  bufferevent* stream;
  double incomplete_since;    // time of the accept, or of the first byte of a later request
  double first_byte_at = 0;   // of an incomplete request; 0: none
  size_t received_bytes = 0;  // of an incomplete request
  bool is_incomplete = true;  // whether it is in `incomplete_`
  std::list<Connection*>::iterator position{};  // in `incomplete_`
  std::shared_ptr<Exchange> exchange;           // null between requests
  double responded_at = 0;                      // time of the last response, 0: none

  // Whether evhttp has closed the connection: it removes its callbacks then.
  bool is_closed() const {
    bufferevent_event_cb on_event = nullptr;
    bufferevent_getcb(stream, nullptr, nullptr, &on_event, nullptr);
    return on_event == nullptr;
  }
};

EventHttpServer::EventHttpServer(EventLoop& loop, const HttpServerLimits& limits, Handler handler)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      http_(evhttp_new(loop.base())),
      sweep_timer_(
          loop.timer([](void* self) { static_cast<EventHttpServer*>(self)->on_sweep(); }, this)),
      last_sweep_at_(loop.now()) {
  if (!http_) throw std::runtime_error("cannot create the HTTP server");
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(limits.max_body));
  evhttp_set_max_headers_size(http_, max_header_bytes);
  evhttp_set_timeout(http_, std::max(1, static_cast<int>(limits.idle_s)));
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
      [](event_base*, void* self) { return static_cast<EventHttpServer*>(self)->on_accept(); },
      this);
  sweep_timer_->arm(sweep_interval_s());
}

double EventHttpServer::sweep_interval_s() const { return limits_.request_s * replaceable_share; }

bufferevent* EventHttpServer::on_accept() {
  if (connections_.size() >= limits_.max_connections && has_replaceable_connection())
    close_oldest_incomplete();
  bufferevent* stream = bufferevent_socket_new(loop_.base(), -1, 0);
  if (!stream) return nullptr;
  bufferevent_incref(stream);
  auto connection = std::make_unique<Connection>(this, stream, loop_.now());
  connection->position = incomplete_.insert(incomplete_.end(), connection.get());
  evbuffer_add_cb(bufferevent_get_input(stream), &EventHttpServer::on_input, connection.get());
  connections_.emplace(stream, std::move(connection));
  pause_or_resume_accepting();
  return stream;
}

void EventHttpServer::drop(Connection& connection) {
  if (connection.exchange) connection.exchange->request = nullptr;
  if (connection.is_incomplete) end_request(connection);
  bufferevent* stream = connection.stream;
  evbuffer_remove_cb(bufferevent_get_input(stream), &EventHttpServer::on_input, &connection);
  connections_.erase(stream);
  bufferevent_decref(stream);
}

void EventHttpServer::on_input(evbuffer*, const evbuffer_cb_info* change, void* connection) {
  if (change->n_added == 0) return;
  auto* receiver = static_cast<Connection*>(connection);
  receiver->server->note_received(*receiver, change->n_added);
}

void EventHttpServer::note_received(Connection& connection, size_t bytes) {
  if (connection.exchange) return;  // requests are not pipelined
  if (!connection.is_incomplete) begin_request(connection);
  if (connection.first_byte_at == 0) connection.first_byte_at = loop_.now();
  connection.received_bytes += bytes;
  incomplete_bytes_ += bytes;
  // This is called by the stream, so it must not be closed here.
  if (incomplete_bytes_ > max_incomplete_bodies * limits_.max_body) sweep_timer_->arm(0);
}

void EventHttpServer::begin_request(Connection& connection) {
  connection.is_incomplete = true;
  connection.incomplete_since = loop_.now();
  connection.position = incomplete_.insert(incomplete_.end(), &connection);
}

void EventHttpServer::end_request(Connection& connection) {
  incomplete_.erase(connection.position);
  incomplete_bytes_ -= std::exchange(connection.received_bytes, 0);
  connection.first_byte_at = 0;
  connection.is_incomplete = false;
}

// Returns false if all connections have sent whole requests.
bool EventHttpServer::close_oldest_incomplete() {
  if (incomplete_.empty()) return false;
  Connection& oldest = *incomplete_.front();
  // evhttp closes a connection on which a read has timed out. It reports only the end of those that
  // have sent a whole request.
  bufferevent* stream = oldest.stream;
  if (!oldest.is_closed())
    bufferevent_trigger_event(stream, BEV_EVENT_TIMEOUT | BEV_EVENT_READING, 0);
  if (auto it = connections_.find(stream); it != connections_.end()) drop(*it->second);
  return true;
}

bool EventHttpServer::is_overdue(const Connection& connection) const {
  const double time_s = limits_.request_s * (is_behind_ ? time_factor_if_behind : 1);
  return connection.first_byte_at != 0 && loop_.now() - connection.first_byte_at > time_s;
}

// Closes the connections whose requests take too long or too much memory, and forgets those that
// evhttp has closed.
void EventHttpServer::on_sweep() {
  const size_t max_bytes = max_incomplete_bodies * limits_.max_body;
  const double sweep_gap_s = loop_.now() - std::exchange(last_sweep_at_, loop_.now());
  is_behind_ = sweep_gap_s > (1 + max_sweep_delay_intervals) * sweep_interval_s();
  std::vector<Connection*> finished;
  for (Connection* connection : incomplete_)
    if (connection->is_closed() || is_overdue(*connection)) finished.push_back(connection);
  for (Connection* connection : finished) {
    incomplete_.splice(incomplete_.begin(), incomplete_, connection->position);
    close_oldest_incomplete();
  }
  while (incomplete_bytes_ > max_bytes) close_oldest_incomplete();
  pause_or_resume_accepting();
  sweep_timer_->arm(sweep_interval_s());
}

bool EventHttpServer::has_replaceable_connection() const {
  if (incomplete_.empty() || is_behind_) return false;
  const double age_s = loop_.now() - incomplete_.front()->incomplete_since;
  return age_s > limits_.request_s * replaceable_share;
}

void EventHttpServer::pause_or_resume_accepting() {
  if (!socket_) return;
  auto* listener = evhttp_bound_socket_get_listener(socket_);
  if (connections_.size() < limits_.max_connections || has_replaceable_connection()) {
    evconnlistener_enable(listener);
  } else {
    evconnlistener_disable(listener);
  }
}

void EventHttpServer::on_close(evhttp_connection* connection, void* server) {
  auto* self = static_cast<EventHttpServer*>(server);
  auto it = self->connections_.find(evhttp_connection_get_bufferevent(connection));
  if (it != self->connections_.end()) self->drop(*it->second);
  self->pause_or_resume_accepting();
}

EventHttpServer::~EventHttpServer() {
  // evhttp_free() frees the socket and calls on_close() for the open connections, which must not
  // use the socket any more.
  socket_ = nullptr;
  evhttp_free(http_);
  while (!connections_.empty()) drop(*connections_.begin()->second);
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
      static_cast<int>(limits_.max_connections), reinterpret_cast<sockaddr*>(&address),
      sizeof address);
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
  const std::string_view uri = path_and_query(evhttp_request_get_uri(http_request));
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
  evhttp_connection* http_connection = evhttp_request_get_connection(http_request);
  Connection& connection = *connections_.at(evhttp_connection_get_bufferevent(http_connection));
  evhttp_connection_set_closecb(http_connection, &EventHttpServer::on_close, this);
  if (connection.is_incomplete) end_request(connection);
  auto exchange = std::make_shared<Exchange>(Exchange{http_request});
  connection.exchange = exchange;
  request.previous_response_at = connection.responded_at;
  const std::string sender = sender_of(http_connection);
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
  evhttp_connection* http_connection = evhttp_request_get_connection(to);
  Connection& connection = *connections_.at(evhttp_connection_get_bufferevent(http_connection));
  connection.exchange = nullptr;
  connection.responded_at = loop_.now();
  add_headers(evhttp_request_get_output_headers(to), response);
  evbuffer_add(evhttp_request_get_output_buffer(to), response.body.data(), response.body.size());
  evhttp_send_reply(to, response.status, nullptr, nullptr);
}

}  // namespace damsonport
