#include "config/sexp_document.hpp"

#include <sfsexp/sexp_memory.h>
#include <sfsexp/sexp_ops.h>

#include <vector>

namespace damsonport {

namespace {

// The library reads only one expression at a time, and no comments.
std::string without_comments(const std::string& text) {
  std::string out;
  bool comment = false;
  for (char c : text) {
    if (c == ';') comment = true;
    if (c == '\n') comment = false;
    out.push_back(comment ? ' ' : c);
  }
  return out;
}

// A complaint about parentheses that don't match, or nothing.
std::string unbalanced(const std::string& text) {
  int depth = 0, line = 1;
  for (char c : text) {
    line += c == '\n';
    depth += c == '(' ? 1 : c == ')' ? -1 : 0;
    if (depth < 0) return "line " + std::to_string(line) + ": ')' without '('";
  }
  return depth == 0 ? "" : "line " + std::to_string(line) + ": a '(' is not closed";
}

}  // namespace

SexpDocument::SexpDocument(std::string text, sexp_t* root)
    : text_(std::move(text)), root_(root, destroy_sexp) {}

Result<SexpDocument> SexpDocument::parse(const std::string& raw, const std::string& name) {
  std::string text = without_comments(raw);
  if (auto complaint = unbalanced(text); !complaint.empty()) return Error{complaint};
  std::vector<char> buffer(text.begin(), text.end());
  buffer.push_back('\0');
  SexpDocument document(text, parse_sexp(buffer.data(), text.size()));
  if (!document.root_ || !is_list(document.root_.get()) || atom(document.root_->list) != name)
    return Error{"line 1: expected (" + name + " ...)"};
  return document;
}

std::string SexpDocument::at_line(const std::string& word, const std::string& after) const {
  const auto from = text_.find(after);
  auto at = text_.find(word, from == std::string::npos ? 0 : from);
  if (at == std::string::npos) at = text_.size();
  int line = 1;
  for (size_t i = 0; i < at; ++i) line += text_[i] == '\n';
  return "line " + std::to_string(line) + ": ";
}

std::string SexpDocument::atom(const sexp_t* entry) {
  return entry && entry->ty == SEXP_VALUE && entry->val ? std::string(entry->val) : std::string();
}

}  // namespace damsonport
