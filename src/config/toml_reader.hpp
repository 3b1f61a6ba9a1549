/// Reads settings and experiment plans written in TOML, and collects every problem in them.
#pragma once
#include <toml++/toml.h>

#include <string>
#include <vector>

#include "protocol/result.hpp"

namespace damsonport {

/// The error names the line.
Result<toml::table> parse_toml(const std::string& text);

/// A table of the document.
struct TomlTable {
  const toml::table* values;  ///< lives as long as the document
  std::string prefix;         ///< of its fields' names in errors: "deployment.workers."

  bool contains(const char* key) const { return values->contains(key); }
  const toml::node* find(const char* key) const { return values->get(key); }
};

/// Reads fields of one document, which has to outlive the reader. What is missing or wrong is noted
/// as a problem, and a value within the range is returned in its place.
class TomlReader {
 public:
  /// Upper bound of a number where none is given.
  static constexpr double default_max = 1e12;

  explicit TomlReader(const toml::table& root) : root_{&root, {}} {}
  const TomlTable& root() const { return root_; }

  /// A field that has to be there.
  std::string text(const TomlTable& parent, const char* key);
  double required(const TomlTable& parent, const char* key, double low, double high = default_max);
  /// A field that may be missing: then `fallback`.
  double number(const TomlTable& parent, const char* key, double fallback, double low,
                double high = default_max);
  /// A table that has to be there.
  TomlTable required_table(const TomlTable& parent, const char* key);
  /// A table that may be missing: then an empty one.
  TomlTable table(const TomlTable& parent, const char* key);
  /// A list of tables that may be missing: then an empty one.
  std::vector<TomlTable> tables(const TomlTable& parent, const char* key);

  /// Notes a problem with the field, at the line of its value, or of its table where it has none.
  void fail(const TomlTable& parent, const char* key, const std::string& what);
  bool ok() const { return problems_.empty(); }
  /// The problems so far, one a line.
  const Error& error() const { return problems_; }

 private:
  TomlTable root_;
  Error problems_;
};

}  // namespace damsonport
