/// Parser for the operators' files. A file is one S-expression: a list that begins with a name. A
/// comment runs from ';' to the end of the line.
#pragma once
#include <sfsexp/sexp.h>

#include <charconv>
#include <memory>
#include <optional>
#include <string>

#include "protocol/result.hpp"

namespace damsonport {

/// A parsed file: (NAME ENTRY ...). The document owns the entries.
class SexpDocument {
 public:
  /// Parses a file's text. `name`: the required name of the outermost list. The error names the
  /// line.
  static Result<SexpDocument> parse(const std::string& raw, const std::string& name);

  /// The first entry after the name, or null; each entry's `next` points to the following entry.
  const sexp_t* entries() const { return root_->list->next; }

  /// "line N: " for the first occurrence of the word, for use in errors. The parser keeps no
  /// positions, so the word is searched for in the text.
  std::string at_line(const std::string& word) const { return at_line(word, {}); }
  /// "line N: " for the first occurrence of the word after the first occurrence of `after`.
  std::string at_line(const std::string& word, const std::string& after) const;

  /// Whether `entry` is a list that is not empty.
  static bool is_list(const sexp_t* entry) { return entry->ty == SEXP_LIST && entry->list; }
  /// The entry's word; empty if `entry` is a list or null.
  static std::string atom(const sexp_t* entry);
  /// The first word of a list; empty if `entry` is a word or a list that begins with a list.
  static std::string list_name(const sexp_t* entry);
  /// The entry's word as a number; empty if the word isn't a number, or `entry` is a list or null.
  template <class Number>
  static std::optional<Number> number(const sexp_t* entry);

 private:
  SexpDocument(std::string text, sexp_t* root);
  std::string text_;
  std::unique_ptr<sexp_t, void (*)(sexp_t*)> root_;
};

template <class Number>
std::optional<Number> SexpDocument::number(const sexp_t* entry) {
  const std::string word = atom(entry);
  Number value{};
  const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
  if (word.empty() || error != std::errc{} || end != word.data() + word.size()) return std::nullopt;
  return value;
}

}  // namespace damsonport
