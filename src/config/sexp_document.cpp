#include "config/sexp_document.hpp"

#include <sfsexp/sexp_memory.h>
#include <sfsexp/sexp_ops.h>

#include <algorithm>
#include <vector>

namespace damsonport {

namespace {

std::string line_prefix(int line) { return "line " + std::to_string(line) + ": "; }

// Replaces comments by spaces, since the library doesn't support comments. Lines and positions stay
// the same.
std::string blank_out_comments(const std::string& text) {
  std::string out;
  bool comment = false;
  for (char c : text) {
    if (c == ';') comment = true;
    if (c == '\n') comment = false;
    out.push_back(comment ? ' ' : c);
  }
  return out;
}

// The error for the first parenthesis that has no counterpart; empty if all parentheses match.
std::optional<Error> find_unbalanced_parenthesis(const std::string& text) {
  int depth = 0;
  int line = 1;
  for (char c : text) {
    if (c == '\n') ++line;
    if (c == '(') ++depth;
    if (c == ')') --depth;
    if (depth < 0) return Error{line_prefix(line) + "')' without '('"};
  }
  if (depth != 0) return Error{line_prefix(line) + "a '(' is not closed"};
  return std::nullopt;
}

}  // namespace

SexpDocument::SexpDocument(std::string text, sexp_t* root)
    : text_(std::move(text)), root_(root, destroy_sexp) {}

Result<SexpDocument> SexpDocument::parse(const std::string& raw, const std::string& name) {
  std::string text = blank_out_comments(raw);
  if (auto problem = find_unbalanced_parenthesis(text)) return *problem;
  // The parser modifies its input, which must end with a zero byte.
  std::vector<char> buffer(text.begin(), text.end());
  buffer.push_back('\0');
  SexpDocument document(text, parse_sexp(buffer.data(), text.size()));
  if (!document.root_ || !is_list(document.root_.get()) || atom(document.root_->list) != name)
    return Error{line_prefix(1) + "expected (" + name + " ...)"};
  return document;
}

std::string SexpDocument::at_line(const std::string& word, const std::string& after) const {
  const auto from = text_.find(after);
  auto at = text_.find(word, from == std::string::npos ? 0 : from);
  if (at == std::string::npos) at = text_.size();
  const auto end = text_.begin() + static_cast<std::ptrdiff_t>(at);
  return line_prefix(1 + static_cast<int>(std::count(text_.begin(), end, '\n')));
}

std::string SexpDocument::atom(const sexp_t* entry) {
  return entry && entry->ty == SEXP_VALUE && entry->val ? std::string(entry->val) : std::string();
}

std::string SexpDocument::list_name(const sexp_t* entry) {
  return is_list(entry) ? atom(entry->list) : std::string();
}

}  // namespace damsonport
