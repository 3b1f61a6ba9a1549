/// Reader for TOML documents, such as settings and experiment plans, that collects all problems of
/// a document instead of stopping at the first one.
#pragma once
#include <toml++/toml.h>

#include <string>
#include <vector>

#include "protocol/result.hpp"

namespace damsonport {

/// Parses a TOML document. The error names the line.
Result<toml::table> parse_toml(const std::string& text);

/// A table of the document.
struct TomlTable {
  const toml::table* values;  ///< valid as long as the document
  std::string prefix;         ///< of field names in errors, such as "deployment.workers."

  /// Whether the table has this field, of any type.
  bool contains(const char* key) const { return values->contains(key); }
  /// The field's value; null if the table doesn't have the field.
  const toml::node* find(const char* key) const { return values->get(key); }
};

/// Reads fields of one document, which must outlive the reader. A missing or invalid field is added
/// to the problems, and a valid value (an empty text or table, the smallest number, or the
/// fallback) is returned for the field.
class TomlReader {
 public:
  /// Default upper bound of a number.
  static constexpr double default_max = 1e12;

  explicit TomlReader(const toml::table& root) : root_{&root, {}} {}
  /// The document's outermost table.
  const TomlTable& root() const { return root_; }

  /// A required text, which must not be empty.
  std::string text(const TomlTable& parent, const char* key);
  /// A required number from `low` to `high`.
  double required(const TomlTable& parent, const char* key, double low, double high = default_max);
  /// An optional number from `low` to `high`; `fallback` if the field is missing.
  double number(const TomlTable& parent, const char* key, double fallback, double low,
                double high = default_max);
  /// A required table.
  TomlTable required_table(const TomlTable& parent, const char* key);
  /// An optional table; empty if the field is missing.
  TomlTable table(const TomlTable& parent, const char* key);
  /// An optional list of tables; empty if the field is missing.
  std::vector<TomlTable> tables(const TomlTable& parent, const char* key);

  /// Adds a problem with the field. The problem names the line of the field's value, or that of the
  /// table if the field is missing.
  void fail(const TomlTable& parent, const char* key, const std::string& problem);
  /// No problem has been found so far.
  bool ok() const { return problems_.empty(); }
  /// The problems found so far, one per line.
  const Error& error() const { return problems_; }

 private:
  TomlTable root_;
  Error problems_;
};

}  // namespace damsonport
