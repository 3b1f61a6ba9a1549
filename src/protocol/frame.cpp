#include "protocol/frame.hpp"

#include "protocol/varint.hpp"

namespace damsonport {

std::string encode_frame(std::string_view body) {
  VarintWriter frame;
  frame.text(body);
  return frame.bytes();
}

Framed decode_frame(std::string_view in, uint64_t max_body, std::string_view& body, size_t& used) {
  constexpr size_t longest_head = 10;  // of a 64-bit varint
  VarintReader head(in);
  uint64_t size = 0;
  if (!head.number(size)) return in.size() >= longest_head ? Framed::bad : Framed::partial;
  if (size > max_body) return Framed::bad;
  if (in.size() - head.used() < size) return Framed::partial;
  body = in.substr(head.used(), size);
  used = head.used() + size;
  return Framed::whole;
}

}  // namespace damsonport
