#include "config/replica_settings.hpp"

#include <optional>
#include <set>

#include "config/sexp_document.hpp"
#include "config/text_file.hpp"

namespace damsonport {

namespace {

constexpr uint32_t min_parts = 2;
constexpr uint32_t max_parts = 1024;
constexpr uint32_t max_at_once = 100000;
constexpr double max_backoff_leases = 1000;

// Reads one (class ...) entry and collects all problems of the entry.
class ClassReader {
 public:
  explicit ClassReader(const SexpDocument& document) : document_(document) {}

  // The name of the class; empty if the entry has none, or before read().
  const std::string& name() const { return policy_.job_class; }

  Result<ReplicaPolicy> read(const sexp_t* entry) {
    const std::string word = SexpDocument::atom(SexpDocument::is_list(entry) ? entry->list : entry);
    if (!SexpDocument::is_list(entry) || word != "class")
      return Error{document_.at_line(word) + "expected (class NAME ...)"};
    const sexp_t* name = entry->list->next;
    policy_.job_class = SexpDocument::atom(name);
    if (policy_.job_class.empty())
      return Error{document_.at_line("class") + "a class needs a name"};
    for (const sexp_t* field = name->next; field; field = field->next) read_entry(field);
    if (!seen_.contains("parts")) fail(policy_.job_class, "parts is missing");
    if (policy_.first_backoff_leases > policy_.longest_backoff_leases)
      fail(policy_.job_class, "the first backoff is longer than the longest");
    if (!problems_.empty()) return problems_;
    return policy_;
  }

 private:
  void fail(const std::string& word, const std::string& problem) {
    problems_.add(document_.at_line(word, policy_.job_class) + "class " + policy_.job_class + ": " +
                  problem);
  }

  void read_entry(const sexp_t* entry) {
    const std::string field_name = SexpDocument::list_name(entry);
    const sexp_t* value = field_name.empty() ? nullptr : entry->list->next;
    if (!field_name.empty() && !seen_.insert(field_name).second)
      return fail(field_name, field_name + " stands twice");
    if (field_name == "parts") {
      read_count(field_name, value, min_parts, max_parts, policy_.parts);
    } else if (field_name == "repairs") {
      read_count(field_name, value, 1, max_at_once, policy_.repairs);
    } else if (field_name == "moves") {
      read_count(field_name, value, 0, max_at_once, policy_.moves);
    } else if (field_name == "distinct-machines") {
      read_flag(field_name, value, policy_.distinct_machines);
    } else if (field_name == "backoff-leases") {
      read_backoff(field_name, value);
    } else {
      fail(field_name.empty() ? SexpDocument::atom(entry) : field_name,
           "unknown entry '" + field_name + "'");
    }
  }

  void read_count(const std::string& name, const sexp_t* value, uint32_t min, uint32_t max,
                  uint32_t& out) {
    const auto count = SexpDocument::number<uint32_t>(value);
    if (!count || *count < min || *count > max || value->next)
      return fail(name, name + " must be a whole number from " + std::to_string(min) + " to " +
                            std::to_string(max));
    out = *count;
  }

  void read_flag(const std::string& name, const sexp_t* value, bool& out) {
    const std::string word = SexpDocument::atom(value);
    if ((word != "yes" && word != "no") || value->next)
      return fail(name, name + " must be yes or no");
    out = word == "yes";
  }

  void read_backoff(const std::string& name, const sexp_t* value) {
    const auto first = SexpDocument::number<double>(value);
    const auto longest = SexpDocument::number<double>(value ? value->next : nullptr);
    auto valid = [](std::optional<double> leases) {
      return leases && *leases > 0 && *leases <= max_backoff_leases;
    };
    if (!valid(first) || !valid(longest) || value->next->next)
      return fail(name, name + " must be two numbers of leases, above 0 and up to " +
                            std::to_string(static_cast<int>(max_backoff_leases)));
    policy_.first_backoff_leases = *first;
    policy_.longest_backoff_leases = *longest;
  }

  const SexpDocument& document_;
  ReplicaPolicy policy_;
  std::set<std::string> seen_;
  Error problems_;
};

}  // namespace

const ReplicaPolicy* ReplicaSettings::find(const std::string& job_class) const {
  for (auto& policy : classes)
    if (policy.job_class == job_class) return &policy;
  return nullptr;
}

const ReplicaPolicy& ReplicaSettings::policy(const std::string& job_class) const {
  static const ReplicaPolicy defaults;
  const ReplicaPolicy* named = find(job_class);
  return named ? *named : defaults;
}

void ReplicaSettings::apply_to(JobSpec& spec) const {
  const ReplicaPolicy* policy = find(spec.job_class);
  if (!policy || spec.kind != JobKind::service) return;
  spec.parts = policy->parts;
  spec.distinct_machines = policy->distinct_machines;
}

Result<ReplicaSettings> parse_replicas(const std::string& text) {
  auto document = SexpDocument::parse(text, "replicas");
  if (!document) return Error{document.error()};
  ReplicaSettings settings;
  std::set<std::string> names;
  Error problems;
  for (const sexp_t* entry = document->entries(); entry; entry = entry->next) {
    ClassReader reader(*document);
    auto policy = reader.read(entry);
    if (!policy) problems.add(policy.error());
    if (!reader.name().empty() && !names.insert(reader.name()).second)
      problems.add(document->at_line(reader.name()) + "class " + reader.name() + " is named twice");
    if (policy) settings.classes.push_back(std::move(*policy));
  }
  if (!problems.empty()) return problems;
  return settings;
}

Result<ReplicaSettings> load_replicas(const std::string& path) {
  return parse_text_file(path, parse_replicas);
}

}  // namespace damsonport
