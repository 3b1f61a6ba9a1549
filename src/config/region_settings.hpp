/// The operators' file that names the regions among which the teams' limits are divided.
///
///     (regions
///       (region north (share 1) (zones colombo-north)
///         (controller quay-0 "10.0.0.1:8082"))
///       (region south (share 1) (zones galle) (controller pier-0 "10.4.0.1:8082")))
///
/// The same file serves all regions: a controller belongs to the region that lists its zone.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/result.hpp"

namespace damsonport {

struct RegionController {
  std::string name;
  Endpoint endpoint;  ///< where it listens to the controllers of other regions
};

struct Region {
  std::string name;
  /// The region's part of every team's limit and guaranteed quota, in proportion to the shares of
  /// the others. It counts when a team's quota is first recorded; a region that is added later has
  /// 0 and gets what others transfer to it.
  uint64_t share = 0;
  std::vector<std::string> zones;
  std::vector<RegionController> controllers;
};

/// The file's content, as one controller sees it.
struct RegionSettings {
  std::vector<Region> regions;
  size_t own_index = 0;  ///< of the region that this controller belongs to

  const Region& own() const { return regions[own_index]; }
  /// The controller of the own region with this name; null where the file doesn't name it.
  const RegionController* controller(const std::string& name) const;
  /// Position of the region in the file; nothing where it is not there.
  std::optional<size_t> index_of(const std::string& region) const;
};

/// `zone`: of this controller. The error has all problems of the entries, each with its line, or
/// the first inconsistency between them.
Result<RegionSettings> parse_regions(const std::string& text, const std::string& zone);
/// As parse_regions(); each problem names the file too.
Result<RegionSettings> load_regions(const std::string& path, const std::string& zone);

/// Divides a whole number of units in proportion to the regions' shares: sums to the total exactly,
/// and differs from the exact quotients by less than one. One share has to be above 0.
std::vector<uint64_t> divide_by_share(uint64_t units, const std::vector<Region>& regions);

}  // namespace damsonport
