/// S-expressions as the operators' files have them: one list with a name in front, comments from
/// ';' to the end of the line.
#pragma once
#include <sfsexp/sexp.h>

#include <charconv>
#include <memory>
#include <optional>
#include <string>

#include "protocol/result.hpp"

namespace damsonport {

/// One parsed file: (NAME ENTRY ...). The entries live as long as the document.
class SexpDocument {
 public:
  /// `name`: the one that the outermost list has to have. The error names the line.
  static Result<SexpDocument> parse(const std::string& raw, const std::string& name);

  /// The first entry behind the name, or null; each entry's `next` is the following one.
  const sexp_t* entries() const { return root_->list->next; }

  /// "line N: " of the first place where the word stands. The parser keeps no positions, so the
  /// word is found in the text again.
  std::string at_line(const std::string& word) const { return at_line(word, {}); }
  /// The same, behind the first place of `after`.
  std::string at_line(const std::string& word, const std::string& after) const;

  static bool is_list(const sexp_t* entry) { return entry->ty == SEXP_LIST && entry->list; }
  /// The word, or empty where `entry` is a list or null.
  static std::string atom(const sexp_t* entry);
  /// The first word of a list, or empty where `entry` is a word or begins with a list.
  static std::string list_name(const sexp_t* entry);
  /// The word as a number; nothing where it is none, or `entry` is a list or null.
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
