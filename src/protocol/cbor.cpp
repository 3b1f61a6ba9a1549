#include "protocol/cbor.hpp"

#include <cmath>

namespace damsonport {

Json decode_map(std::string_view body, cbor::DecodeError& error) {
  Json value;
  error = cbor::decode(body, value);
  if (error == cbor::DecodeError::none && !value.is_object()) error = cbor::DecodeError::not_a_map;
  if (error != cbor::DecodeError::none) return {};
  return value;
}

Json decode_map(std::string_view body) {
  cbor::DecodeError ignored = cbor::DecodeError::none;
  return decode_map(body, ignored);
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
