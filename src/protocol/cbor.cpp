#include "protocol/cbor.hpp"

#include <cmath>

namespace damsonport {

Json decode_map(const std::string& body) {
  constexpr bool whole_input = true;
  constexpr bool throws = false;
  auto value = Json::from_cbor(body, whole_input, throws);
  return value.is_object() ? value : Json();
}

std::string encode(const Json& value) {
  std::string out;
  Json::to_cbor(value, out);
  return out;
}

namespace cbor {

const Json* find(const Json& map, const char* name) {
  const auto it = map.find(name);
  return it == map.end() || it->is_null() ? nullptr : &*it;
}

bool read(const Json& map, const char* name, std::string& out) {
  const auto* value = find(map, name);
  if (!value || !value->is_string()) return false;
  out = value->get<std::string>();
  return true;
}

bool read(const Json& map, const char* name, double& out) {
  const auto* value = find(map, name);
  if (!value || !value->is_number()) return false;
  out = value->get<double>();
  return std::isfinite(out);
}

bool read(const Json& map, const char* name, bool& out) {
  const auto* value = find(map, name);
  if (!value || !value->is_boolean()) return false;
  out = value->get<bool>();
  return true;
}

bool read(const Json& map, const char* name, uint64_t& out) {
  const auto* value = find(map, name);
  if (!value || !value->is_number_integer()) return false;
  if (!value->is_number_unsigned() && value->get<int64_t>() < 0) return false;
  out = value->get<uint64_t>();
  return true;
}

bool read(const Json& map, const char* name, std::vector<std::string>& out) {
  const auto* value = find(map, name);
  if (!value || !value->is_array()) return false;
  for (const auto& item : *value) {
    if (!item.is_string()) return false;
    out.push_back(item.get<std::string>());
  }
  return true;
}

}  // namespace cbor
}  // namespace damsonport
