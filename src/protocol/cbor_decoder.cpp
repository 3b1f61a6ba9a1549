#include "protocol/cbor_decoder.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "protocol/utf8.hpp"

namespace damsonport::cbor {

namespace {

using Json = nlohmann::json;

/// Major types of RFC 8949, section 3.1.
enum class MajorType : uint8_t {
  unsigned_integer,
  negative_integer,
  byte_string,
  text,
  array,
  map,
  tag,
  simple_or_float,
};

// Additional information in the low five bits of an item's first byte.
constexpr uint8_t info_mask = 0x1F;
constexpr int major_type_shift = 5;
constexpr uint8_t info_one_byte = 24;
constexpr uint8_t info_two_bytes = 25;
constexpr uint8_t info_four_bytes = 26;
constexpr uint8_t info_eight_bytes = 27;
constexpr uint8_t info_indefinite = 31;

// Simple values.
constexpr uint64_t simple_false = 20;
constexpr uint64_t simple_true = 21;
constexpr uint64_t simple_null = 22;
constexpr uint64_t min_simple_in_second_byte = 32;

/// First byte of an item with the argument that follows it.
struct Head {
  MajorType type = MajorType::unsigned_integer;
  uint8_t info = 0;
  uint64_t argument = 0;

  bool is_indefinite() const { return info == info_indefinite; }
  bool is_break() const { return type == MajorType::simple_or_float && is_indefinite(); }
};

bool may_be_indefinite(MajorType type) {
  return type == MajorType::byte_string || type == MajorType::text || type == MajorType::array ||
         type == MajorType::map || type == MajorType::simple_or_float;
}

double decode_half(uint64_t bits) {
  constexpr uint64_t exponent_mask = 0x1F;
  constexpr uint64_t fraction_mask = 0x3FF;
  constexpr int fraction_bits = 10;
  constexpr int sign_bit = 15;
  constexpr int exponent_bias = 15;
  const auto exponent = static_cast<int>((bits >> fraction_bits) & exponent_mask);
  const auto fraction = static_cast<double>(bits & fraction_mask);
  double value = 0;
  if (exponent == 0) {
    value = std::ldexp(fraction, 1 - exponent_bias - fraction_bits);
  } else if (exponent == static_cast<int>(exponent_mask)) {
    value = fraction == 0 ? std::numeric_limits<double>::infinity()
                          : std::numeric_limits<double>::quiet_NaN();
  } else {
    value = std::ldexp(fraction + fraction_mask + 1, exponent - exponent_bias - fraction_bits);
  }
  return (bits >> sign_bit) != 0 ? -value : value;
}

Json decode_negative(uint64_t argument) {
  if (argument <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
    return -1 - static_cast<int64_t>(argument);
  return -1.0 - static_cast<double>(argument);
}

Json unsupported_value() { return Json(Json::value_t::discarded); }

Json decode_simple_or_float(const Head& head) {
  switch (head.info) {
    case info_two_bytes:
      return decode_half(head.argument);
    case info_four_bytes:
      return static_cast<double>(std::bit_cast<float>(static_cast<uint32_t>(head.argument)));
    case info_eight_bytes:
      return std::bit_cast<double>(head.argument);
    default:
      break;
  }
  if (head.argument == simple_false) return false;
  if (head.argument == simple_true) return true;
  if (head.argument == simple_null) return nullptr;
  return unsupported_value();
}

Json decode_scalar(const Head& head) {
  switch (head.type) {
    case MajorType::unsigned_integer:
      return head.argument;
    case MajorType::negative_integer:
      return decode_negative(head.argument);
    default:
      return decode_simple_or_float(head);
  }
}

/// Decodes one input. A null slot means that the item is checked, but not kept.
class Decoder {
 public:
  explicit Decoder(std::string_view in) : in_(in) {}
  DecodeError decode(Json& out);

 private:
  /// A container whose end was not reached yet.
  struct Container {
    Json* value = nullptr;       // null if not kept
    Json* member = nullptr;      // of a map: slot for the value of the last key
    uint64_t missing_items = 0;  // of definite length; keys and values of a map count separately
    bool is_map = false;
    bool is_indefinite = false;
    bool expects_key = false;
  };

  size_t remaining() const { return in_.size() - position_; }
  DecodeError read_head(Head& head);
  DecodeError read_argument(Head& head);
  DecodeError read_item(const Head& head);
  DecodeError read_key(const Head& head);
  DecodeError read_value(const Head& head, Json* slot);
  DecodeError read_string(const Head& head, std::string* out);
  DecodeError read_definite_string(const Head& head, std::string* out);
  DecodeError read_value_string(const Head& head, Json* slot);
  DecodeError open_container(const Head& head, Json* slot);
  DecodeError close_indefinite();
  void close_complete();
  Json* next_slot();

  std::string_view in_;
  size_t position_ = 0;
  Json* root_ = nullptr;
  std::vector<Container> open_;
  bool is_tagged_ = false;  // the next item is the content of a tag
};

DecodeError Decoder::read_argument(Head& head) {
  if (head.info < info_one_byte) {
    head.argument = head.info;
    return DecodeError::none;
  }
  if (head.is_indefinite())
    return may_be_indefinite(head.type) ? DecodeError::none : DecodeError::reserved_head;
  if (head.info > info_eight_bytes) return DecodeError::reserved_head;
  const size_t size = size_t{1} << (head.info - info_one_byte);
  if (remaining() < size) return DecodeError::incomplete;
  constexpr int bits_per_byte = 8;
  for (size_t i = 0; i < size; ++i)
    head.argument = head.argument << bits_per_byte | static_cast<uint8_t>(in_[position_ + i]);
  position_ += size;
  const bool is_reserved_simple = head.type == MajorType::simple_or_float &&
                                  head.info == info_one_byte &&
                                  head.argument < min_simple_in_second_byte;
  return is_reserved_simple ? DecodeError::reserved_head : DecodeError::none;
}

DecodeError Decoder::read_head(Head& head) {
  if (remaining() == 0) return DecodeError::incomplete;
  const auto first = static_cast<uint8_t>(in_[position_++]);
  head.type = static_cast<MajorType>(first >> major_type_shift);
  head.info = first & info_mask;
  head.argument = 0;
  return read_argument(head);
}

DecodeError Decoder::read_definite_string(const Head& head, std::string* out) {
  if (head.argument > remaining()) return DecodeError::incomplete;
  const std::string_view bytes = in_.substr(position_, head.argument);
  position_ += bytes.size();
  if (head.type == MajorType::text && !is_valid_utf8(bytes)) return DecodeError::invalid_text;
  if (out) out->append(bytes);
  return DecodeError::none;
}

// `out` is null if the string is not kept.
DecodeError Decoder::read_string(const Head& head, std::string* out) {
  if (!head.is_indefinite()) return read_definite_string(head, out);
  for (;;) {
    Head chunk;
    if (const auto error = read_head(chunk); error != DecodeError::none) return error;
    if (chunk.is_break()) return DecodeError::none;
    if (chunk.type != head.type || chunk.is_indefinite()) return DecodeError::invalid_chunk;
    if (const auto error = read_definite_string(chunk, out); error != DecodeError::none)
      return error;
  }
}

DecodeError Decoder::read_value_string(const Head& head, Json* slot) {
  if (!slot || head.type == MajorType::byte_string) {
    if (slot) *slot = unsupported_value();
    return read_string(head, nullptr);
  }
  *slot = std::string();
  return read_string(head, slot->get_ptr<Json::string_t*>());
}

// A count that exceeds the input is refused before anything is built for it.
DecodeError Decoder::open_container(const Head& head, Json* slot) {
  const bool is_map = head.type == MajorType::map;
  const uint64_t items_per_entry = is_map ? 2 : 1;
  if (head.argument > remaining() / items_per_entry) return DecodeError::incomplete;
  const bool is_kept = slot && open_.size() < max_kept_depth;
  if (is_kept) *slot = is_map ? Json::object() : Json::array();
  if (slot && !is_kept) *slot = unsupported_value();
  open_.push_back({is_kept ? slot : nullptr, nullptr, head.argument * items_per_entry, is_map,
                   head.is_indefinite(), is_map});
  return DecodeError::none;
}

DecodeError Decoder::read_value(const Head& head, Json* slot) {
  if (std::exchange(is_tagged_, false) && slot) {
    *slot = unsupported_value();
    slot = nullptr;
  }
  switch (head.type) {
    case MajorType::byte_string:
    case MajorType::text:
      return read_value_string(head, slot);
    case MajorType::array:
    case MajorType::map:
      return open_container(head, slot);
    default:
      if (slot) *slot = decode_scalar(head);
      return DecodeError::none;
  }
}

// The key of a kept map. Entries whose key is not a text are not kept.
DecodeError Decoder::read_key(const Head& head) {
  Json* map = open_.back().value;
  open_.back().member = nullptr;
  if (!map || is_tagged_ || head.type != MajorType::text) return read_value(head, nullptr);
  std::string key;
  if (const auto error = read_string(head, &key); error != DecodeError::none) return error;
  Json& member = map->get_ref<Json::object_t&>()[std::move(key)];
  open_.back().member = &member;
  return DecodeError::none;
}

// The place of the next value of the innermost container; null if it is not kept.
Json* Decoder::next_slot() {
  Container& container = open_.back();
  if (container.is_map) return container.member;
  if (!container.value) return nullptr;
  return &container.value->get_ref<Json::array_t&>().emplace_back();
}

DecodeError Decoder::read_item(const Head& head) {
  if (open_.empty()) return read_value(head, root_);
  Container& container = open_.back();
  if (!container.is_indefinite) --container.missing_items;
  const bool is_key = container.is_map && container.expects_key;
  container.expects_key = !is_key;
  return is_key ? read_key(head) : read_value(head, next_slot());
}

DecodeError Decoder::close_indefinite() {
  if (open_.empty() || is_tagged_) return DecodeError::misplaced_break;
  const Container& container = open_.back();
  if (!container.is_indefinite || (container.is_map && !container.expects_key))
    return DecodeError::misplaced_break;
  open_.pop_back();
  return DecodeError::none;
}

void Decoder::close_complete() {
  while (!open_.empty() && !open_.back().is_indefinite && open_.back().missing_items == 0)
    open_.pop_back();
}

DecodeError Decoder::decode(Json& out) {
  root_ = &out;
  for (;;) {
    Head head;
    if (const auto error = read_head(head); error != DecodeError::none) return error;
    if (head.type == MajorType::tag) {
      is_tagged_ = true;
      continue;
    }
    const auto error = head.is_break() ? close_indefinite() : read_item(head);
    if (error != DecodeError::none) return error;
    close_complete();
    if (open_.empty()) break;
  }
  return remaining() == 0 ? DecodeError::none : DecodeError::trailing_bytes;
}

}  // namespace

const char* describe(DecodeError error) {
  switch (error) {
    case DecodeError::none:
      return "no error";
    case DecodeError::incomplete:
      return "incomplete CBOR";
    case DecodeError::trailing_bytes:
      return "bytes after the CBOR item";
    case DecodeError::reserved_head:
      return "reserved CBOR byte";
    case DecodeError::misplaced_break:
      return "misplaced CBOR break";
    case DecodeError::invalid_chunk:
      return "invalid chunk of a CBOR string";
    case DecodeError::invalid_text:
      return "text that is not UTF-8";
    case DecodeError::not_a_map:
      return "no CBOR map";
  }
  return "";
}

DecodeError decode(std::string_view in, nlohmann::json& out) { return Decoder(in).decode(out); }

}  // namespace damsonport::cbor
