#include "config/region_settings.hpp"

#include <algorithm>
#include <numeric>
#include <set>

#include "config/sexp_document.hpp"
#include "config/text_file.hpp"

namespace damsonport {

namespace {

constexpr uint64_t max_share = 1000000;

// Reads one (region ...) entry and collects all problems of the entry.
class RegionReader {
 public:
  explicit RegionReader(const SexpDocument& document) : document_(document) {}

  Result<Region> read(const sexp_t* entry) {
    if (SexpDocument::list_name(entry) != "region")
      return Error{document_.at_line(SexpDocument::atom(entry)) + "expected (region NAME ...)"};
    const sexp_t* name = entry->list->next;
    region_.name = SexpDocument::atom(name);
    if (region_.name.empty()) return Error{document_.at_line("region") + "a region needs a name"};
    bool has_share = false;
    for (const sexp_t* field = name->next; field; field = field->next) {
      const std::string field_name = SexpDocument::list_name(field);
      if (field_name == "share") {
        has_share = true;
        read_share(field->list->next);
      } else if (field_name == "zones") {
        read_zones(field->list->next);
      } else if (field_name == "controller") {
        read_controller(field->list->next);
      } else {
        fail(field_name, "unknown entry '" + field_name + "'");
      }
    }
    if (!has_share) fail(region_.name, "region " + region_.name + ": share is missing");
    if (region_.zones.empty()) fail(region_.name, "region " + region_.name + ": zones is missing");
    if (!problems_.empty()) return problems_;
    return region_;
  }

 private:
  void fail(const std::string& word, const std::string& problem) {
    problems_.add(document_.at_line(word) + problem);
  }
  void read_share(const sexp_t* value) {
    const auto share = SexpDocument::number<uint64_t>(value);
    if (!share || *share > max_share)
      return fail(region_.name, "region " + region_.name + ": share must be a whole number up to " +
                                    std::to_string(max_share));
    region_.share = *share;
  }
  void read_zones(const sexp_t* zone) {
    for (; zone; zone = zone->next) region_.zones.push_back(SexpDocument::atom(zone));
  }
  void read_controller(const sexp_t* name) {
    RegionController controller;
    controller.name = SexpDocument::atom(name);
    const std::string at = name ? SexpDocument::atom(name->next) : std::string();
    if (controller.name.empty() || !parse_endpoint(at, controller.endpoint))
      return fail(controller.name,
                  "region " + region_.name + ": expected (controller NAME \"IPV4:PORT\")");
    region_.controllers.push_back(std::move(controller));
  }

  const SexpDocument& document_;
  Region region_;
  Error problems_;
};

// The first inconsistency between the regions; empty if they are consistent.
std::optional<Error> find_inconsistency(const RegionSettings& settings) {
  std::set<std::string> names;
  std::set<std::string> zones;
  uint64_t shares = 0;
  for (auto& region : settings.regions) {
    if (!names.insert(region.name).second)
      return Error{"region " + region.name + " is named twice"};
    for (auto& zone : region.zones)
      if (!zones.insert(zone).second) return Error{"zone " + zone + " is in two regions"};
    shares += region.share;
  }
  if (shares == 0) return Error{"every region has the share 0"};
  return std::nullopt;
}

}  // namespace

const RegionController* RegionSettings::controller(const std::string& name) const {
  for (auto& controller : own().controllers)
    if (controller.name == name) return &controller;
  return nullptr;
}

std::optional<size_t> RegionSettings::index_of(const std::string& region) const {
  for (size_t i = 0; i < regions.size(); ++i)
    if (regions[i].name == region) return i;
  return std::nullopt;
}

Result<RegionSettings> parse_regions(const std::string& text, const std::string& zone) {
  auto document = SexpDocument::parse(text, "regions");
  if (!document) return Error{document.error()};
  RegionSettings settings;
  Error problems;
  for (const sexp_t* entry = document->entries(); entry; entry = entry->next) {
    auto region = RegionReader(*document).read(entry);
    if (region) {
      settings.regions.push_back(std::move(*region));
    } else {
      problems.add(region.error());
    }
  }
  if (!problems.empty()) return problems;
  if (auto problem = find_inconsistency(settings)) return *problem;
  for (size_t i = 0; i < settings.regions.size(); ++i) {
    auto& zones = settings.regions[i].zones;
    if (std::find(zones.begin(), zones.end(), zone) == zones.end()) continue;
    settings.own_index = i;
    return settings;
  }
  return Error{"no region lists the zone " + zone + " of this controller"};
}

Result<RegionSettings> load_regions(const std::string& path, const std::string& zone) {
  return parse_text_file(path, [&](const std::string& text) { return parse_regions(text, zone); });
}

std::vector<uint64_t> divide_by_share(uint64_t units, const std::vector<Region>& regions) {
  uint64_t total_share = 0;
  for (auto& region : regions) total_share += region.share;
  std::vector<uint64_t> quotas;
  std::vector<double> remainders;
  uint64_t assigned = 0;
  for (auto& region : regions) {
    const double exact = static_cast<double>(units) * static_cast<double>(region.share) /
                         static_cast<double>(total_share);
    quotas.push_back(static_cast<uint64_t>(exact));
    remainders.push_back(exact - static_cast<double>(quotas.back()));
    assigned += quotas.back();
  }
  // The units left over by rounding down, fewer than the regions with a remainder, go to the
  // largest remainders.
  std::vector<size_t> by_remainder(regions.size());
  std::iota(by_remainder.begin(), by_remainder.end(), 0);
  std::stable_sort(by_remainder.begin(), by_remainder.end(),
                   [&](size_t a, size_t b) { return remainders[a] > remainders[b]; });
  for (size_t i = 0; assigned < units; ++i) {
    ++quotas[by_remainder[i % by_remainder.size()]];
    ++assigned;
  }
  return quotas;
}

}  // namespace damsonport
