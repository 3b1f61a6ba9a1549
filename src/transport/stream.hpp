// Byte streams between controllers: one listener, and one outgoing link per peer.
#pragma once
#include <functional>
#include <string>
#include <string_view>

namespace damsonport {

// Outgoing: connects again by itself when told to send while closed.
class StreamLink {
 public:
  virtual ~StreamLink() = default;
  // Dropped when the link is not up or too much is unsent; hints need no queue. A message is taken
  // whatever its length when nothing else is unsent.
  virtual void send(const std::string& bytes) = 0;
};

class StreamListener {
 public:
  // Gets what is buffered of a stream; yields how much it used, or -1 to close the stream.
  using OnBytes = std::function<long(std::string_view)>;
  virtual ~StreamListener() = default;
  virtual bool listening() const = 0;
};

}  // namespace damsonport
