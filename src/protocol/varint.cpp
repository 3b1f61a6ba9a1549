#include "protocol/varint.hpp"

namespace damsonport {

namespace {
constexpr int bits_per_byte = 7;
constexpr uint64_t continuation_bit = 0x80;  // set in all bytes except the last
constexpr unsigned char value_mask = 0x7f;
/// Shift of the tenth byte, which holds only the last bit of a 64-bit number.
constexpr int last_shift = 63;
}  // namespace

void VarintWriter::number(uint64_t value) {
  while (value >= continuation_bit) {
    out_.push_back(static_cast<char>(value | continuation_bit));
    value >>= bits_per_byte;
  }
  out_.push_back(static_cast<char>(value));
}

void VarintWriter::text(std::string_view text) {
  number(text.size());
  out_.append(text);
}

bool VarintReader::number(uint64_t& value) {
  value = 0;
  for (int shift = 0; shift <= last_shift; shift += bits_per_byte) {
    if (used_ >= in_.size()) return false;
    const auto byte = static_cast<unsigned char>(in_[used_++]);
    if (shift == last_shift && byte > 1) return false;
    value |= static_cast<uint64_t>(byte & value_mask) << shift;
    if (byte < continuation_bit) return true;
  }
  return false;
}

bool VarintReader::text(std::string& text) {
  uint64_t size = 0;
  if (!number(size) || size > in_.size() - used_) return false;
  text.assign(in_.substr(used_, size));
  used_ += size;
  return true;
}

}  // namespace damsonport
