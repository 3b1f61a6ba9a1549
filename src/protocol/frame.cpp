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
  constexpr size_t longest_head = 10;  // of a 64-bit varint
  VarintReader head(in);
  uint64_t size = 0;
  if (!head.number(size))
    return in.size() >= longest_head ? FrameStatus::malformed : FrameStatus::incomplete;
  if (size > max_body) return FrameStatus::malformed;
  if (in.size() - head.used() < size) return FrameStatus::incomplete;
  body = in.substr(head.used(), size);
  used = head.used() + size;
  return FrameStatus::complete;
}

}  // namespace damsonport
