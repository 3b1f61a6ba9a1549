/// CBOR maps on the wire, and the reading of their fields. The wire's names of the fields are
/// constants of the modules that decode the messages.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damsonport {

using Json = nlohmann::json;

/// The map that the bytes encode; null where they are not exactly one CBOR map.
Json decode_map(const std::string& body);
/// The value in CBOR.
std::string encode(const Json& value);

namespace cbor {

/// The field's value; nullptr where it is absent or null, which mean the same.
const Json* find(const Json& map, const char* name);

/// Reads a field that has to be there. False where it is absent or of another type; numbers have
/// to be finite, and integers must not be negative.
[[nodiscard]] bool read(const Json& map, const char* name, std::string& out);
[[nodiscard]] bool read(const Json& map, const char* name, double& out);
[[nodiscard]] bool read(const Json& map, const char* name, bool& out);
[[nodiscard]] bool read(const Json& map, const char* name, uint64_t& out);
[[nodiscard]] bool read(const Json& map, const char* name, std::vector<std::string>& out);

/// Reads a field that may be absent: then `out` keeps its value. False where the type is wrong.
template <class T>
bool read_optional(const Json& map, const char* name, T& out) {
  return !find(map, name) || read(map, name, out);
}

/// Finds `text` among the `names`, which stand in the order of E's enumerators.
template <class E, size_t N>
[[nodiscard]] bool parse_enum(const std::string_view (&names)[N], std::string_view text, E& out) {
  for (size_t i = 0; i < N; ++i) {
    if (names[i] != text) continue;
    out = static_cast<E>(i);
    return true;
  }
  return false;
}

/// Reads a field that has to be one of the `names`.
template <class E, size_t N>
[[nodiscard]] bool read_enum(const Json& map, const char* name, const std::string_view (&names)[N],
                             E& out) {
  std::string text;
  return read(map, name, text) && parse_enum(names, text, out);
}

}  // namespace cbor
}  // namespace damsonport
