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

}  // namespace damsonport
