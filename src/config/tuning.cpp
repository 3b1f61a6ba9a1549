#include "config/tuning.hpp"

#include "config/sexp_document.hpp"

namespace damsonport {

namespace {

/// One entry of the file: its name, its range, and the field that the entry sets. Exactly one of
/// the two field pointers is not null.
struct Entry {
  const char* name;
  double low;
  double high;
  double Tuning::*real;
  int Tuning::*integer;
};

constexpr Entry known_entries[] = {
    {"straggler-alpha", 0.001, 1, &Tuning::straggler_alpha, nullptr},
    {"straggler-bar", 0.01, 1, &Tuning::straggler_threshold, nullptr},
    {"straggler-test-every", 1, 1000, nullptr, &Tuning::straggler_check_interval},
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
    {"arrival-spreads", 0, 20, &Tuning::arrival_std_deviations, nullptr},
    {"idle-replacements", 0, 1000, &Tuning::idle_replacements, nullptr},
};

const Entry* find_entry(const std::string& name) {
  for (const Entry& entry : known_entries)
    if (name == entry.name) return &entry;
  return nullptr;
}

// Sets the field that `item` names. Returns the problem if the item is unknown, malformed or out of
// range.
std::optional<Error> apply(Tuning& out, const SexpDocument& document, const sexp_t* item) {
  if (!SexpDocument::is_list(item))
    return Error{document.at_line(SexpDocument::atom(item)) + "expected (NAME VALUE)"};
  const std::string name = SexpDocument::list_name(item);
  const std::string where = document.at_line(name);
  const Entry* entry = find_entry(name);
  if (!entry) return Error{where + "unknown entry '" + name + "'"};
  const sexp_t* value = item->list->next;
  const auto number = SexpDocument::number<double>(value);
  if (!number || value->next) return Error{where + name + ": expected one number"};
  if (!(*number >= entry->low && *number <= entry->high))
    return Error{where + name + ": must lie between " + std::to_string(entry->low) + " and " +
                 std::to_string(entry->high)};
  if (entry->real) {
    out.*entry->real = *number;
    return std::nullopt;
  }
  const int integer = static_cast<int>(*number);
  if (*number != integer) return Error{where + name + ": must be whole"};
  out.*entry->integer = integer;
  return std::nullopt;
}

}  // namespace

Result<Tuning> parse_tuning(const std::string& text) {
  auto document = SexpDocument::parse(text, "damsonport");
  if (!document) return Error{document.error()};
  Tuning tuning;
  Error problems;
  for (const sexp_t* entry = document->entries(); entry; entry = entry->next) {
    if (const auto problem = apply(tuning, *document, entry)) problems.add(problem->text);
  }
  if (!problems.empty()) return problems;
  return tuning;
}

}  // namespace damsonport
