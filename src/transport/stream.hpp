/// Interfaces of byte streams between controllers: one listener, and one outgoing link per
/// receiver.
#pragma once
#include <functional>
#include <string>
#include <string_view>

namespace damsonport {

/// Outgoing stream. If the stream is closed, send() opens a connection.
class StreamLink {
 public:
  virtual ~StreamLink() = default;
  /// Sends a whole message, or drops the message if another message waits for the connection or too
  /// many bytes are unsent. Dropping is safe because messages only carry hints or are repeated. If
  /// no bytes are unsent, a message of any length is accepted.
  virtual void send(const std::string& bytes) = 0;
};

/// Accepts incoming streams and passes their bytes to a callback.
class StreamListener {
 public:
  /// Callback that gets the buffered bytes of a stream. Returns the number of bytes that it
  /// consumed, or -1 to close the stream.
  using OnBytes = std::function<long(std::string_view)>;
  virtual ~StreamListener() = default;
  /// Whether the listener was able to listen on its address.
  virtual bool listening() const = 0;
};

}  // namespace damsonport
