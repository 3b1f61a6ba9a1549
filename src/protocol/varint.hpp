/// The codec of the messages between controllers: numbers as base-128 varints, the lowest seven
/// bits first; texts with their length in front.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace damsonport {

/// Appends values to a buffer.
class VarintWriter {
 public:
  void number(uint64_t value);
  void text(std::string_view text);
  const std::string& bytes() const { return out_; }

 private:
  std::string out_;
};

/// Reads values from the front of a buffer, which has to outlive the reader. After a read that
/// failed the reader can't be used any more.
class VarintReader {
 public:
  explicit VarintReader(std::string_view in) : in_(in) {}

  /// False at the end of the input, or for a number of more than 64 bits.
  [[nodiscard]] bool number(uint64_t& value);
  /// False where the input ends within the text.
  [[nodiscard]] bool text(std::string& text);
  /// Bytes read so far.
  size_t used() const { return used_; }

 private:
  std::string_view in_;
  size_t used_ = 0;
};

}  // namespace damsonport
