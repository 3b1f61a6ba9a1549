#include "config/region_settings.hpp"

#include <algorithm>
#include <charconv>
#include <numeric>
#include <set>

#include "config/sexp_document.hpp"
#include "config/text_file.hpp"

namespace damsonport {

namespace {

constexpr uint64_t most_share = 1000000;

// Reads one region; all its problems are kept, one a line.
class RegionReader {
 public:
  explicit RegionReader(const SexpDocument& document) : document_(document) {}

  Result<Region> read(const sexp_t* entry) {
    if (!SexpDocument::is_list(entry) || SexpDocument::atom(entry->list) != "region")
      return Error{document_.at_line(SexpDocument::atom(entry)) + "expected (region NAME ...)"};
    const sexp_t* name = entry->list->next;
    region_.name = SexpDocument::atom(name);
    if (region_.name.empty()) return Error{document_.at_line("region") + "a region needs a name"};
    bool has_share = false;
    for (const sexp_t* part = name->next; part; part = part->next) {
      const std::string what =
          SexpDocument::is_list(part) ? SexpDocument::atom(part->list) : std::string();
      if (what == "share") {
        has_share = read_share(part->list->next);
      } else if (what == "zones") {
        read_zones(part->list->next);
      } else if (what == "controller") {
        read_controller(part->list->next);
      } else {
        fail(what, "unknown entry '" + what + "'");
      }
    }
    if (!has_share) fail(region_.name, "region " + region_.name + ": share is missing");
    if (region_.zones.empty()) fail(region_.name, "region " + region_.name + ": zones is missing");
    if (!problems_.text.empty()) return problems_;
    return region_;
  }

 private:
  void fail(const std::string& word, const std::string& what) {
    problems_.add(document_.at_line(word) + what);
  }
  bool read_share(const sexp_t* value) {
    const std::string word = SexpDocument::atom(value);
    auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), region_.share);
    if (word.empty() || error != std::errc{} || end != word.data() + word.size() ||
        region_.share > most_share)
      fail(region_.name, "region " + region_.name + ": share must be a whole number up to " +
                             std::to_string(most_share));
    return true;
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

// What the regions have to be together.
std::string inconsistency(const RegionSettings& settings) {
  std::set<std::string> names, zones;
  uint64_t shares = 0;
  for (auto& region : settings.regions) {
    if (!names.insert(region.name).second) return "region " + region.name + " is named twice";
    for (auto& zone : region.zones)
      if (!zones.insert(zone).second) return "zone " + zone + " is in two regions";
    shares += region.share;
  }
  return shares == 0 ? "every region has the share 0" : "";
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
  if (!problems.text.empty()) return problems;
  if (auto problem = inconsistency(settings); !problem.empty()) return Error{problem};
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
  uint64_t all = 0;
  for (auto& region : regions) all += region.share;
  std::vector<uint64_t> parts;
  std::vector<double> remainders;
  uint64_t given = 0;
  for (auto& region : regions) {
    const double exact =
        static_cast<double>(units) * static_cast<double>(region.share) / static_cast<double>(all);
    parts.push_back(static_cast<uint64_t>(exact));
    remainders.push_back(exact - static_cast<double>(parts.back()));
    given += parts.back();
  }
  std::vector<size_t> order(regions.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t a, size_t b) { return remainders[a] > remainders[b]; });
  // Fewer are left than there are regions with a remainder.
  for (size_t i = 0; given < units; ++i, ++given) ++parts[order[i % order.size()]];
  return parts;
}

}  // namespace damsonport
