/// Frames on the byte streams between controllers. A frame consists of the length of the body in
/// bytes as a varint, and the body.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace damsonport {

/// State of the frame at the front of the buffered bytes of a stream.
enum class FrameStatus : uint8_t {
  incomplete,  ///< more bytes are needed
  complete,    ///< all bytes of the frame are buffered
  malformed,   ///< the bytes are not a valid frame, and the stream must be closed
};

/// Returns the frame with this body.
std::string encode_frame(std::string_view body);

/// Decodes the frame at the front of `in`. If the frame is complete, sets `body` to a view into
/// `in` and `used` to the number of bytes of the frame. A frame whose body is longer than
/// `max_body` bytes is malformed.
FrameStatus decode_frame(std::string_view in, uint64_t max_body, std::string_view& body,
                         size_t& used);

}  // namespace damsonport
