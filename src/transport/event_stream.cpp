#include "transport/event_stream.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace damsonport {

namespace {
// Limit of the unsent bytes in the output buffer. It doesn't apply to a message that finds the
// buffer empty: such a message may have any length that its receiver accepts.
constexpr size_t max_unsent_bytes = size_t{32} * 1024;
constexpr timeval idle_timeout{10, 0};
constexpr int accept_backlog = 16;

sockaddr_in address_of(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  evutil_inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
}
}  // namespace

void EventStreamLink::close() {
  if (stream_) bufferevent_free(stream_);
  stream_ = nullptr;
  connected_ = false;
}

void EventStreamLink::send(const std::string& bytes) {
  if (!stream_) {
    stream_ =
        bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    if (!stream_) return;
    bufferevent_setcb(
        stream_, nullptr, nullptr,
        [](bufferevent*, short events, void* arg) {
          auto* self = static_cast<EventStreamLink*>(arg);
          if (events & BEV_EVENT_CONNECTED) {
            self->connected_ = true;
          } else {
            self->close();
          }
        },
        this);
    // If a write makes no progress within the timeout, the peer is dead or partitioned. The stream
    // is closed, and the next message opens a new connection.
    bufferevent_set_timeouts(stream_, nullptr, &idle_timeout);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    auto address = address_of(to_);
    if (bufferevent_socket_connect(stream_, reinterpret_cast<sockaddr*>(&address),
                                   sizeof address) != 0) {
      close();
      return;
    }
  }
  auto* out = bufferevent_get_output(stream_);
  const size_t unsent = evbuffer_get_length(out);
  if (!connected_ && unsent > 0) return;
  if (unsent > 0 && unsent + bytes.size() > max_unsent_bytes) return;
  bufferevent_write(stream_, bytes.data(), bytes.size());
}

struct EventStreamListener::IncomingStream {
  EventStreamListener* owner;
  bufferevent* stream;
  ~IncomingStream() {
    --owner->open_streams_;
    bufferevent_free(stream);
  }
  void read() {
    auto* in = bufferevent_get_input(stream);
    size_t size = evbuffer_get_length(in);
    auto* data = reinterpret_cast<const char*>(evbuffer_pullup(in, -1));
    long used = owner->on_bytes_({data, size});
    if (used < 0) {
      delete this;
    } else {
      evbuffer_drain(in, static_cast<size_t>(used));
    }
  }
};

EventStreamListener::EventStreamListener(EventLoop& loop, const Endpoint& at, size_t max_streams,
                                         OnBytes on_bytes)
    : loop_(loop), max_streams_(max_streams), on_bytes_(std::move(on_bytes)) {
  auto address = address_of(at);
  listener_ = evconnlistener_new_bind(
      loop.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
        auto* self = static_cast<EventStreamListener*>(arg);
        if (self->open_streams_ >= self->max_streams_) {
          evutil_closesocket(fd);
          return;
        }
        auto* stream = bufferevent_socket_new(self->loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
        if (!stream) {
          evutil_closesocket(fd);
          return;
        }
        ++self->open_streams_;
        auto* incoming = new IncomingStream{self, stream};
        bufferevent_setcb(
            stream, [](bufferevent*, void* i) { static_cast<IncomingStream*>(i)->read(); }, nullptr,
            [](bufferevent*, short, void* i) { delete static_cast<IncomingStream*>(i); }, incoming);
        bufferevent_set_timeouts(stream, &idle_timeout, &idle_timeout);
        bufferevent_enable(stream, EV_READ);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, accept_backlog,
      reinterpret_cast<sockaddr*>(&address), sizeof address);
}

EventStreamListener::~EventStreamListener() {
  if (listener_) evconnlistener_free(listener_);
}

}  // namespace damsonport
