#include "protocol/tuning.hpp"

#include <sfsexp/sexp.h>
#include <sfsexp/sexp_memory.h>
#include <sfsexp/sexp_ops.h>

#include <charconv>
#include <cstring>
#include <memory>
#include <vector>

namespace damsonport {

namespace {

struct Knob {
  const char* name;
  double low, high;
  double Tuning::*real;
  int Tuning::*whole;
};

constexpr Knob knobs[] = {
    {"straggler-alpha", 0.001, 1, &Tuning::straggler_alpha, nullptr},
    {"straggler-bar", 0.01, 1, &Tuning::straggler_bar, nullptr},
    {"straggler-test-every", 1, 1000, nullptr, &Tuning::straggler_test_every},
    {"straggler-min-successes", 1, 1000, nullptr, &Tuning::straggler_min_successes},
    {"grant-s", 1, 600, &Tuning::grant_s, nullptr},
    {"doubt-reports", 1.5, 100, &Tuning::doubt_reports, nullptr},
    {"doubt-lease-share", 0.05, 10, &Tuning::doubt_lease_share, nullptr},
    {"return-reports", 2, 1000, &Tuning::return_reports, nullptr},
    {"return-lease-share", 0, 10, &Tuning::return_lease_share, nullptr},
    {"return-lease-most", 0.1, 10, &Tuning::return_lease_most, nullptr},
    {"cancel-return-share", 0.1, 0.9, &Tuning::cancel_return_share, nullptr},
    {"gang-hold-after-share", 0, 100, &Tuning::gang_hold_after_share, nullptr},
    {"gang-hold-for-share", 0, 100, &Tuning::gang_hold_for_share, nullptr},
    {"gang-replacement-share", 0, 0.9, &Tuning::gang_replacement_share, nullptr},
    {"spare-share", 0, 4, &Tuning::spare_share, nullptr},
};

// sfsexp keeps no positions, so the line of a named entry is found in the text again.
std::string at_line(const std::string& text, const std::string& word) {
  auto at = text.find(word);
  if (at == std::string::npos) at = text.size();
  int line = 1;
  for (size_t i = 0; i < at; ++i) line += text[i] == '\n';
  return "line " + std::to_string(line) + ": ";
}

std::string atom(const sexp_t* s) {
  return s && s->ty == SEXP_VALUE && s->val ? std::string(s->val) : std::string();
}

Result<bool> apply(Tuning& out, const std::string& text, const sexp_t* entry) {
  if (entry->ty != SEXP_LIST || !entry->list)
    return Error{at_line(text, atom(entry)) + "expected (NAME VALUE)"};
  const std::string name = atom(entry->list);
  const sexp_t* value = entry->list->next;
  const auto where = at_line(text, name);
  for (const Knob& knob : knobs) {
    if (name != knob.name) continue;
    std::string word = atom(value);
    double number = 0;
    auto [end, err] = std::from_chars(word.data(), word.data() + word.size(), number);
    if (word.empty() || err != std::errc{} || end != word.data() + word.size() || value->next)
      return Error{where + name + ": expected one number"};
    if (!(number >= knob.low && number <= knob.high))
      return Error{where + name + ": must lie between " + std::to_string(knob.low) + " and " +
                   std::to_string(knob.high)};
    if (knob.real) {
      out.*knob.real = number;
    } else {
      if (number != static_cast<int>(number)) return Error{where + name + ": must be whole"};
      out.*knob.whole = static_cast<int>(number);
    }
    return true;
  }
  return Error{where + "unknown entry '" + name + "'"};
}

// Comments run from ';' to the end of the line; sfsexp reads only one expression at a time.
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

}  // namespace

Result<Tuning> parse_tuning(const std::string& raw) {
  std::string text = without_comments(raw);
  int depth = 0, line = 1;
  for (char c : text) {
    line += c == '\n';
    depth += c == '(' ? 1 : c == ')' ? -1 : 0;
    if (depth < 0) return Error{"line " + std::to_string(line) + ": ')' without '('"};
  }
  if (depth != 0) return Error{"line " + std::to_string(line) + ": a '(' is not closed"};
  std::vector<char> buffer(text.begin(), text.end());
  buffer.push_back('\0');
  std::unique_ptr<sexp_t, void (*)(sexp_t*)> root(parse_sexp(buffer.data(), text.size()),
                                                  destroy_sexp);
  if (!root || root->ty != SEXP_LIST || atom(root->list) != "damsonport")
    return Error{"line 1: expected (damsonport ...)"};
  Tuning tuning;
  for (const sexp_t* entry = root->list->next; entry; entry = entry->next) {
    auto done = apply(tuning, text, entry);
    if (!done) return Error{done.error()};
  }
  return tuning;
}

}  // namespace damsonport
