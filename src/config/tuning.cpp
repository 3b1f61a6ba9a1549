#include "config/tuning.hpp"

#include <charconv>

#include "config/sexp_document.hpp"

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
    {"grant-s", 1, 600, &Tuning::shard_lease_s, nullptr},
    {"doubt-reports", 1.5, 100, &Tuning::suspect_after_heartbeats, nullptr},
    {"doubt-lease-share", 0.05, 10, &Tuning::suspect_lease_share, nullptr},
    {"return-reports", 2, 1000, &Tuning::dead_after_heartbeats, nullptr},
    {"return-lease-share", 0, 10, &Tuning::dead_lease_share, nullptr},
    {"return-lease-most", 0.1, 10, &Tuning::dead_lease_max, nullptr},
    {"cancel-return-share", 0.1, 0.9, &Tuning::cancel_return_share, nullptr},
    {"gang-hold-after-share", 0, 100, &Tuning::gang_hold_after_share, nullptr},
    {"gang-hold-for-share", 0, 100, &Tuning::gang_hold_for_share, nullptr},
    {"gang-replacement-share", 0, 0.9, &Tuning::gang_replacement_share, nullptr},
    {"spare-share", 0, 4, &Tuning::headroom_share, nullptr},
    {"cheap-spare-share", 0, 1, &Tuning::cheap_headroom_share, nullptr},
    {"arrival-spreads", 0, 20, &Tuning::arrival_spreads, nullptr},
    {"idle-replacements", 0, 1000, &Tuning::idle_replacements, nullptr},
};

Result<bool> apply(Tuning& out, const SexpDocument& document, const sexp_t* entry) {
  if (!SexpDocument::is_list(entry))
    return Error{document.at_line(SexpDocument::atom(entry)) + "expected (NAME VALUE)"};
  const std::string name = SexpDocument::atom(entry->list);
  const sexp_t* value = entry->list->next;
  const auto where = document.at_line(name);
  for (const Knob& knob : knobs) {
    if (name != knob.name) continue;
    std::string word = SexpDocument::atom(value);
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

}  // namespace

Result<Tuning> parse_tuning(const std::string& text) {
  auto document = SexpDocument::parse(text, "damsonport");
  if (!document) return Error{document.error()};
  Tuning tuning;
  Error problems;
  for (const sexp_t* entry = document->entries(); entry; entry = entry->next) {
    const auto done = apply(tuning, *document, entry);
    if (!done) problems.add(done.error());
  }
  if (!problems.text.empty()) return problems;
  return tuning;
}

}  // namespace damsonport
