// Reads settings and plans written in TOML, and collects every problem in them.
#pragma once
#include <toml++/toml.h>

#include <string>
#include <vector>

#include "protocol/result.hpp"

namespace damsonport {

// Errors name the line.
Result<toml::table> parse_toml(const std::string& text);

// A table of the document, with what stands before the names of its fields: "deployment.workers.".
struct TomlTable {
  const toml::table* values;
  std::string prefix;

  bool contains(const char* key) const { return values->contains(key); }
  const toml::node* find(const char* key) const { return values->get(key); }
};

class TomlReader {
 public:
  static constexpr double largest = 1e12;

  explicit TomlReader(const toml::table& root) : root_{&root, {}} {}
  const TomlTable& root() const { return root_; }

  // A field that has to be there. What is missing or wrong is noted, and a value in range returned.
  std::string text(const TomlTable& t, const char* key);
  double required(const TomlTable& t, const char* key, double low, double high = largest);
  // A field that may be missing.
  double number(const TomlTable& t, const char* key, double otherwise, double low,
                double high = largest);
  TomlTable required_table(const TomlTable& t, const char* key);
  // Empty where it is missing.
  TomlTable table(const TomlTable& t, const char* key);
  std::vector<TomlTable> tables(const TomlTable& t, const char* key);

  // Names the field, and the line of its value, or that of its table where there is none.
  void fail(const TomlTable& t, const char* key, const std::string& what);
  bool ok() const { return problems_.text.empty(); }
  // One problem a line.
  const Error& error() const { return problems_; }

 private:
  TomlTable root_;
  Error problems_;
};

}  // namespace damsonport
