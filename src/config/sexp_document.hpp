// S-expressions as the operators' files have them: one list with a name in front, comments from ';'
// to the end of the line.
#pragma once
#include <sfsexp/sexp.h>

#include <memory>
#include <string>

#include "protocol/result.hpp"

namespace damsonport {

class SexpDocument {
 public:
  // `name`: of the outermost list. Errors name the line.
  static Result<SexpDocument> parse(const std::string& raw, const std::string& name);

  // The first entry behind the name, or null.
  const sexp_t* entries() const { return root_->list->next; }
  // "line N: " of the first place where the word stands. The parser keeps no positions, so it is
  // found in the text again.
  std::string at_line(const std::string& word) const { return at_line(word, {}); }
  // Behind the first place of `after`.
  std::string at_line(const std::string& word, const std::string& after) const;

  // The word, or nothing where it is a list or absent.
  static std::string atom(const sexp_t* entry);
  static bool is_list(const sexp_t* entry) { return entry->ty == SEXP_LIST && entry->list; }

 private:
  SexpDocument(std::string text, sexp_t* root);
  std::string text_;
  std::unique_ptr<sexp_t, void (*)(sexp_t*)> root_;
};

}  // namespace damsonport
