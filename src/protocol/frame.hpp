/// Frames on the streams between controllers: the length of the body as a varint, then the body.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace damsonport {

/// What stands at the front of a stream's buffered bytes.
enum class FrameStatus : uint8_t {
  partial,  ///< the beginning of a frame: more bytes are needed
  whole,    ///< a whole frame
  bad,      ///< no frame: the stream has to be closed
};

/// The body with its length in front.
std::string encode_frame(std::string_view body);

/// Decodes the frame at the front of `in`. When whole, `body` refers into `in`, and `used` bytes
/// were consumed. A frame whose body is longer than `max_body` bytes is bad.
FrameStatus decode_frame(std::string_view in, uint64_t max_body, std::string_view& body,
                         size_t& used);

}  // namespace damsonport
