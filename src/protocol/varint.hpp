// The codec between controllers: numbers as base-128 varints, texts with their length in front.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace damsonport {

class VarintWriter {
 public:
  void number(uint64_t v);
  void text(std::string_view s);
  const std::string& bytes() const { return out_; }

 private:
  std::string out_;
};

class VarintReader {
 public:
  explicit VarintReader(std::string_view in) : in_(in) {}
  // False at the end of the input, or for a number of more than 64 bits.
  bool number(uint64_t& v);
  bool text(std::string& s);
  size_t used() const { return used_; }

 private:
  std::string_view in_;
  size_t used_ = 0;
};

// What controllers tell one another; hints only, never truth.
struct Beat {
  std::string node;
  uint64_t incarnation = 0;
  uint64_t state_age_ms = 0;  // since the last contact with the state service
  uint64_t waiting = 0;       // tasks waiting, for the sizing of blocks
  bool loaded = false;
  uint64_t strays = 0;  // machines of another holder that come here
  uint64_t writes = 0;  // wanted of the state service, for the sharing of its limit
};
std::string encode_beat(const Beat& b);  // framed
enum class Framed : uint8_t { partial, whole, bad };
// Takes one framed beat off the front; `used` bytes were consumed when whole.
Framed decode_beat(std::string_view in, Beat& out, size_t& used);

}  // namespace damsonport
