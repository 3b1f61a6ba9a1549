/// Byte streams between controllers: one listener, and one outgoing link per peer.
#pragma once
#include <functional>
#include <string>
#include <string_view>

namespace damsonport {

/// An outgoing stream. It connects by itself when something is to be sent while it is closed.
class StreamLink {
 public:
  virtual ~StreamLink() = default;
  /// Sends a whole message, or drops it: where the link is not connected yet or too much is unsent.
  /// Only hints are sent, which need no queue. With nothing else unsent a message of any length is
  /// taken.
  virtual void send(const std::string& bytes) = 0;
};

/// Accepts streams and passes on what arrives on them.
class StreamListener {
 public:
  /// Gets the bytes buffered of a stream; yields how many it consumed, or -1 to close the stream.
  using OnBytes = std::function<long(std::string_view)>;
  virtual ~StreamListener() = default;
  /// False where the address can't be listened on.
  virtual bool listening() const = 0;
};

}  // namespace damsonport
