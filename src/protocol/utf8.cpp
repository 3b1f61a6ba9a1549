#include "protocol/utf8.hpp"

#include <cstddef>
#include <cstdint>
#include <cstring>

namespace damsonport {

namespace {

constexpr uint64_t non_ascii_bits = 0x8080808080808080;

/// The form of a sequence, which its first byte determines.
struct SequenceForm {
  size_t length = 0;  // 0: no sequence begins with this byte
  // Bounds of the second byte; those of later bytes are always the default ones.
  uint8_t second_min = 0x80, second_max = 0xBF;
};

SequenceForm form_of(uint8_t first) {
  if (first < 0x80) return {1};
  if (first < 0xC2) return {};
  if (first < 0xE0) return {2};
  if (first == 0xE0) return {3, 0xA0, 0xBF};
  if (first == 0xED) return {3, 0x80, 0x9F};
  if (first < 0xF0) return {3};
  if (first == 0xF0) return {4, 0x90, 0xBF};
  if (first < 0xF4) return {4};
  if (first == 0xF4) return {4, 0x80, 0x8F};
  return {};
}

bool is_continuation(uint8_t byte) { return byte >= 0x80 && byte <= 0xBF; }

// Length of the valid sequence at the front of `text`, which is not empty; 0 if there is none.
size_t valid_sequence_length(std::string_view text) {
  const SequenceForm form = form_of(static_cast<uint8_t>(text[0]));
  if (form.length <= 1) return form.length;
  if (text.size() < form.length) return 0;
  const auto second = static_cast<uint8_t>(text[1]);
  if (second < form.second_min || second > form.second_max) return 0;
  for (size_t i = 2; i < form.length; ++i)
    if (!is_continuation(static_cast<uint8_t>(text[i]))) return 0;
  return form.length;
}

}  // namespace

bool is_valid_utf8(std::string_view text) {
  while (!text.empty()) {
    uint64_t word = 0;
    if (text.size() >= sizeof word) {
      std::memcpy(&word, text.data(), sizeof word);
      if ((word & non_ascii_bits) == 0) {
        text.remove_prefix(sizeof word);
        continue;
      }
    }
    const size_t length = valid_sequence_length(text);
    if (length == 0) return false;
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace damsonport
