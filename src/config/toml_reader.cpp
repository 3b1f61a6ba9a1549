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

void TomlReader::fail(const TomlTable& parent, const char* key, const std::string& problem) {
  const toml::node* value = parent.find(key);
  const auto line = value ? value->source().begin.line : parent.values->source().begin.line;
  const std::string where = line > 0 ? "line " + std::to_string(line) + ": " : "";
  problems_.add(where + parent.prefix + key + ": " + problem);
}

std::string TomlReader::text(const TomlTable& parent, const char* key) {
  const auto value = (*parent.values)[key].value<std::string>();
  if (!value || value->empty())
    fail(parent, key, parent.contains(key) ? "must be a text" : "is missing");
  return value.value_or("");
}

double TomlReader::required(const TomlTable& parent, const char* key, double low, double high) {
  if (parent.contains(key)) return number(parent, key, low, low, high);
  fail(parent, key, "is missing");
  return low;
}

double TomlReader::number(const TomlTable& parent, const char* key, double fallback, double low,
                          double high) {
  if (!parent.contains(key)) return fallback;
  const auto value = (*parent.values)[key].value<double>();
  if (value && *value >= low && *value <= high) return *value;
  std::ostringstream range;
  range << "must be a number from " << low << " to " << high;
  fail(parent, key, range.str());
  return fallback;
}

TomlTable TomlReader::required_table(const TomlTable& parent, const char* key) {
  if (!parent.contains(key)) fail(parent, key, "is missing");
  return table(parent, key);
}

TomlTable TomlReader::table(const TomlTable& parent, const char* key) {
  static const toml::table empty;
  const auto* found = (*parent.values)[key].as_table();
  if (!found && parent.contains(key)) fail(parent, key, "must be a table");
  return {found ? found : &empty, parent.prefix + key + "."};
}

std::vector<TomlTable> TomlReader::tables(const TomlTable& parent, const char* key) {
  std::vector<TomlTable> out;
  if (!parent.contains(key)) return out;
  const auto* list = (*parent.values)[key].as_array();
  if (!list) fail(parent, key, "must be a list of tables");
  for (size_t i = 0; list && i < list->size(); ++i) {
    const auto name = parent.prefix + key + "[" + std::to_string(i) + "]";
    if (const auto* entry = (*list)[i].as_table()) {
      out.push_back({entry, name + "."});
    } else {
      fail(parent, key, "must have tables only, and number " + std::to_string(i) + " is none");
    }
  }
  return out;
}

}  // namespace damsonport
