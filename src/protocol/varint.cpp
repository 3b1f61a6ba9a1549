#include "protocol/varint.hpp"

namespace damsonport {

namespace {
constexpr uint64_t max_frame = 1024;
constexpr uint64_t beat_version = 3;
}  // namespace

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

std::string encode_beat(const Beat& b) {
  VarintWriter body;
  body.number(beat_version);
  body.text(b.node);
  body.number(b.incarnation);
  body.number(b.state_age_ms);
  body.number(b.waiting);
  body.number(b.loaded ? 1 : 0);
  body.number(b.strays);
  body.number(b.writes);
  VarintWriter frame;
  frame.text(body.bytes());
  return frame.bytes();
}

Framed decode_beat(std::string_view in, Beat& out, size_t& used) {
  VarintReader head(in);
  uint64_t size = 0;
  if (!head.number(size)) return in.size() >= 10 ? Framed::bad : Framed::partial;
  if (size > max_frame) return Framed::bad;
  if (in.size() - head.used() < size) return Framed::partial;
  VarintReader body(in.substr(head.used(), size));
  used = head.used() + size;
  uint64_t version = 0, loaded = 0;
  if (!body.number(version) || version != beat_version || !body.text(out.node) ||
      !body.number(out.incarnation) || !body.number(out.state_age_ms) ||
      !body.number(out.waiting) || !body.number(loaded) || !body.number(out.strays) ||
      !body.number(out.writes))
    return Framed::bad;
  out.loaded = loaded != 0;
  return Framed::whole;
}

}  // namespace damsonport
