// Byte streams over TCP for the mesh: one listener, and one outgoing link per peer.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "transport/http.hpp"
#include "transport/loop.hpp"

struct bufferevent;
struct evconnlistener;

namespace damsonport {

// Outgoing: connects again by itself when told to send while closed.
class StreamLink {
 public:
  StreamLink(Loop& loop, Endpoint to) : loop_(loop), to_(std::move(to)) {}
  ~StreamLink() { close(); }
  StreamLink(const StreamLink&) = delete;
  StreamLink& operator=(const StreamLink&) = delete;
  // Dropped when the link is not up or too much is unsent; hints need no queue.
  void send(const std::string& bytes);
  void close();

 private:
  Loop& loop_;
  Endpoint to_;
  bufferevent* stream_ = nullptr;
  bool up_ = false;
};

class StreamListener {
 public:
  // Gets what is buffered of a stream; yields how much it used, or -1 to close the stream.
  using OnBytes = std::function<long(std::string_view)>;
  StreamListener(Loop& loop, const Endpoint& at, size_t max_streams, OnBytes on_bytes);
  ~StreamListener();
  StreamListener(const StreamListener&) = delete;
  StreamListener& operator=(const StreamListener&) = delete;
  bool listening() const { return listener_ != nullptr; }

 private:
  struct Incoming;
  Loop& loop_;
  size_t max_streams_;
  size_t open_ = 0;
  OnBytes on_bytes_;
  evconnlistener* listener_ = nullptr;
};

}  // namespace damsonport
