// Frames on the streams between controllers: the length of the body as a varint, then the body.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace damsonport {

enum class Framed : uint8_t { partial, whole, bad };

std::string encode_frame(std::string_view body);
// Finds the body of the frame at the front; `used` bytes were consumed when whole. A frame longer
// than `max_body` is bad.
Framed decode_frame(std::string_view in, uint64_t max_body, std::string_view& body, size_t& used);

}  // namespace damsonport
