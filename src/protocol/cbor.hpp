/// Encoding and decoding of CBOR maps, and typed reading of their fields. The field names of a
/// message are constants of the module that decodes this message.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/cbor_decoder.hpp"

namespace damsonport {

using Json = nlohmann::json;

/// Decodes a CBOR map, see cbor::decode(). Returns null if `body` is not exactly one well-formed
/// CBOR map whose text is valid UTF-8, and then sets `error` to the reason.
Json decode_map(std::string_view body, cbor::DecodeError& error);
/// The same without the reason.
Json decode_map(std::string_view body);
/// Encodes a value as CBOR.
std::string encode(const Json& value);

namespace cbor {

/// Returns the value of a field, or nullptr if the field is absent or null. Messages don't
/// distinguish absent from null fields.
const Json* find(const Json& map, const char* name);

/// Reads a required field. Returns false if the field is absent or has another type, if a
/// floating-point number is not finite, or if an integer is negative.
[[nodiscard]] bool read(const Json& map, const char* name, std::string& out);
[[nodiscard]] bool read(const Json& map, const char* name, double& out);
[[nodiscard]] bool read(const Json& map, const char* name, bool& out);
[[nodiscard]] bool read(const Json& map, const char* name, uint64_t& out);
[[nodiscard]] bool read(const Json& map, const char* name, std::vector<std::string>& out);

/// Reads an optional field; `out` keeps its value if the field is absent. Returns false if the
/// field is present but invalid, see read().
template <class T>
bool read_optional(const Json& map, const char* name, T& out) {
  return !find(map, name) || read(map, name, out);
}

/// Converts `text` to the enumerator with the same index as `text` in `names`, whose elements are
/// in the order of the enumerators of E. Returns false if `names` doesn't contain `text`.
template <class E, size_t N>
[[nodiscard]] bool parse_enum(const std::string_view (&names)[N], std::string_view text, E& out) {
  for (size_t i = 0; i < N; ++i) {
    if (names[i] != text) continue;
    out = static_cast<E>(i);
    return true;
  }
  return false;
}

/// Reads a required text field with parse_enum().
template <class E, size_t N>
[[nodiscard]] bool read_enum(const Json& map, const char* name, const std::string_view (&names)[N],
                             E& out) {
  std::string text;
  return read(map, name, text) && parse_enum(names, text, out);
}

}  // namespace cbor
}  // namespace damsonport
