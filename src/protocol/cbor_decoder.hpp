/// Decoding of one CBOR item (RFC 8949) in a single pass without recursion, so that no input can
/// exhaust the stack.
#pragma once
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace damsonport::cbor {

/// Containers nested more deeply are checked, but not kept: the decoded value has
/// `value_t::discarded` in their place. Copies, destructors and encoders of decoded values recurse
/// by nesting, so this bounds the stack that they use.
constexpr size_t max_kept_depth = 64;

/// Why input is not acceptable.
enum class DecodeError : uint8_t {
  none,
  incomplete,       ///< the input ends inside the item, or a length or count exceeds the input
  trailing_bytes,   ///< further bytes follow the item
  reserved_head,    ///< a first byte or a simple value that RFC 8949 reserves
  misplaced_break,  ///< a break that doesn't end a container of indefinite length
  invalid_chunk,  ///< a chunk of a string that is not a string of the same type and definite length
  invalid_text,   ///< text that is not UTF-8
  not_a_map,      ///< a well-formed item that is not a map
};

/// Number of enumerators of DecodeError.
constexpr size_t decode_error_count = 8;

/// Short description of the error for logs and responses.
const char* describe(DecodeError error);

/// Decodes the one item that `in` consists of.
///
/// Kept are maps with text keys, arrays, text, numbers, booleans and null, which are all that the
/// protocols use. Any other well-formed value (byte strings, tagged values, undefined, unassigned
/// simple values) becomes `value_t::discarded`, which no typed reader accepts; map entries whose
/// key is not a text are left out. Of several entries with the same key, the last one counts.
/// Integers below -2^63 become floating-point numbers.
///
/// Memory: at most 32 bytes for each open container, besides the value. If the result is not
/// DecodeError::none, the content of `out` is unspecified.
DecodeError decode(std::string_view in, nlohmann::json& out);

}  // namespace damsonport::cbor
