#include "protocol/frame.hpp"

#include "protocol/varint.hpp"

namespace damsonport {

std::string encode_frame(std::string_view body) {
  VarintWriter frame;
  frame.text(body);
  return frame.bytes();
}

FrameStatus decode_frame(std::string_view in, uint64_t max_body, std::string_view& body,
                         size_t& used) {
  constexpr size_t max_header_bytes = 10;  // longest 64-bit varint
  VarintReader header(in);
  uint64_t size = 0;
  if (!header.number(size))
    return in.size() >= max_header_bytes ? FrameStatus::malformed : FrameStatus::incomplete;
  if (size > max_body) return FrameStatus::malformed;
  if (in.size() - header.used() < size) return FrameStatus::incomplete;
  body = in.substr(header.used(), size);
  used = header.used() + size;
  return FrameStatus::complete;
}

}  // namespace damsonport
