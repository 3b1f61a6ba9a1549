/// Byte streams over TCP on libevent.
#pragma once
#include "transport/event_loop.hpp"
#include "transport/http.hpp"
#include "transport/stream.hpp"

struct bufferevent;
struct evconnlistener;

namespace damsonport {

/// Outgoing TCP stream. It closes if a write makes no progress for 10 seconds, and reconnects with
/// the next message.
class EventStreamLink : public StreamLink {
 public:
  EventStreamLink(EventLoop& loop, Endpoint to) : loop_(loop), to_(std::move(to)) {}
  ~EventStreamLink() override { close(); }
  EventStreamLink(const EventStreamLink&) = delete;
  EventStreamLink& operator=(const EventStreamLink&) = delete;
  void send(const std::string& bytes) override;

 private:
  void close();
  EventLoop& loop_;
  Endpoint to_;
  bufferevent* stream_ = nullptr;
  bool connected_ = false;
};

/// Listener for TCP streams. It closes a stream on which no bytes arrive for 10 seconds.
class EventStreamListener : public StreamListener {
 public:
  EventStreamListener(EventLoop& loop, const Endpoint& at, size_t max_streams, OnBytes on_bytes);
  ~EventStreamListener() override;
  EventStreamListener(const EventStreamListener&) = delete;
  EventStreamListener& operator=(const EventStreamListener&) = delete;
  bool listening() const override { return listener_ != nullptr; }

 private:
  struct IncomingStream;
  EventLoop& loop_;
  size_t max_streams_;
  size_t open_streams_ = 0;
  OnBytes on_bytes_;
  evconnlistener* listener_ = nullptr;
};

}  // namespace damsonport
