#include "config/toml_reader.hpp"

#include <sstream>

namespace damsonport {

Result<toml::table> parse_toml(const std::string& text) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& e) {
    std::ostringstream where;
    where << "line " << e.source().begin.line << ": " << e.description();
    return Error{where.str()};
  }
}

void TomlReader::fail(const TomlTable& t, const char* key, const std::string& what) {
  const toml::node* value = t.find(key);
  const auto line = value ? value->source().begin.line : t.values->source().begin.line;
  const std::string where = line > 0 ? "line " + std::to_string(line) + ": " : "";
  problems_.add(where + t.prefix + key + ": " + what);
}

std::string TomlReader::text(const TomlTable& t, const char* key) {
  const auto value = (*t.values)[key].value<std::string>();
  if (!value || value->empty()) fail(t, key, t.contains(key) ? "must be a text" : "is missing");
  return value.value_or("");
}

double TomlReader::required(const TomlTable& t, const char* key, double low, double high) {
  if (t.contains(key)) return number(t, key, low, low, high);
  fail(t, key, "is missing");
  return low;
}

double TomlReader::number(const TomlTable& t, const char* key, double otherwise, double low,
                          double high) {
  if (!t.contains(key)) return otherwise;
  const auto value = (*t.values)[key].value<double>();
  if (value && *value >= low && *value <= high) return *value;
  std::ostringstream range;
  range << "must be a number from " << low << " to " << high;
  fail(t, key, range.str());
  return otherwise;
}

TomlTable TomlReader::required_table(const TomlTable& t, const char* key) {
  if (!t.contains(key)) fail(t, key, "is missing");
  return table(t, key);
}

TomlTable TomlReader::table(const TomlTable& t, const char* key) {
  static const toml::table empty;
  const auto* found = (*t.values)[key].as_table();
  if (!found && t.contains(key)) fail(t, key, "must be a table");
  return {found ? found : &empty, t.prefix + key + "."};
}

std::vector<TomlTable> TomlReader::tables(const TomlTable& t, const char* key) {
  std::vector<TomlTable> out;
  if (!t.contains(key)) return out;
  const auto* list = (*t.values)[key].as_array();
  if (!list) fail(t, key, "must be a list of tables");
  for (size_t i = 0; list && i < list->size(); ++i) {
    const auto name = t.prefix + key + "[" + std::to_string(i) + "]";
    if (const auto* entry = (*list)[i].as_table()) {
      out.push_back({entry, name + "."});
    } else {
      fail(t, key, "must have tables only, and number " + std::to_string(i) + " is none");
    }
  }
  return out;
}

}  // namespace damsonport
