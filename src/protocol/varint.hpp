/// Encoding of the messages between controllers. Numbers are base-128 varints with the lowest seven
/// bits first. A text is preceded by its length in bytes as a varint.
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

/// Reads values from the front of a buffer. The buffer must outlive the reader. After a failed read
/// the reader must not be used any more.
class VarintReader {
 public:
  explicit VarintReader(std::string_view in) : in_(in) {}

  /// Returns false at the end of the input, or if the number has more than 64 bits.
  [[nodiscard]] bool number(uint64_t& value);
  /// Returns false if the input ends before the end of the text.
  [[nodiscard]] bool text(std::string& text);
  /// Number of bytes read so far.
  size_t used() const { return used_; }

 private:
  std::string_view in_;
  size_t used_ = 0;
};

}  // namespace damsonport
