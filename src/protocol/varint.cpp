#include "protocol/varint.hpp"

namespace damsonport {

void VarintWriter::number(uint64_t v) {
  while (v >= 0x80) {
    out_.push_back(static_cast<char>(v | 0x80));
    v >>= 7;
  }
  out_.push_back(static_cast<char>(v));
}

void VarintWriter::text(std::string_view s) {
  number(s.size());
  out_.append(s);
}

bool VarintReader::number(uint64_t& v) {
  v = 0;
  for (int shift = 0; shift < 64; shift += 7) {
    if (used_ >= in_.size()) return false;
    auto byte = static_cast<unsigned char>(in_[used_++]);
    if (shift == 63 && byte > 1) return false;
    v |= static_cast<uint64_t>(byte & 0x7f) << shift;
    if (byte < 0x80) return true;
  }
  return false;
}

bool VarintReader::text(std::string& s) {
  uint64_t size = 0;
  if (!number(size) || size > in_.size() - used_) return false;
  s.assign(in_.substr(used_, size));
  used_ += size;
  return true;
}

}  // namespace damsonport
