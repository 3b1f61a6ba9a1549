/// Settings of the regions among which the teams' limits are divided, read from the operators'
/// regions file.
///
///     (regions
///       (region north (share 1) (zones colombo-north)
///         (controller quay-0 "10.0.0.1:8082"))
///       (region south (share 1) (zones galle) (controller pier-0 "10.4.0.1:8082")))
///
/// All regions use the same file. A controller belongs to the region that lists its zone.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/result.hpp"

namespace damsonport {

/// A controller of a region.
struct RegionController {
  std::string name;
  Endpoint endpoint;  ///< listens for the controllers of other regions
};

/// One (region ...) entry.
struct Region {
  std::string name;
  /// The region's part of every team's limit and guaranteed quota, relative to the sum of all
  /// shares. Used when a team's quota is first recorded. A region that is added later has the share
  /// 0, and gets the quota that other regions transfer to it.
  uint64_t share = 0;
  std::vector<std::string> zones;
  std::vector<RegionController> controllers;
};

/// The contents of the regions file, from the view of one controller.
struct RegionSettings {
  std::vector<Region> regions;
  size_t own_index = 0;  ///< index of the region that this controller belongs to

  /// The region that this controller belongs to.
  const Region& own() const { return regions[own_index]; }
  /// The controller of the own region with this name; null if the file doesn't list it.
  const RegionController* controller(const std::string& name) const;
  /// Index of the region with this name; empty if the file doesn't list it.
  std::optional<size_t> index_of(const std::string& region) const;
};

/// Parses a regions file. `zone`: the zone of this controller. The error lists all problems of the
/// entries, each with its line; if there are none, the first inconsistency between entries.
Result<RegionSettings> parse_regions(const std::string& text, const std::string& zone);
/// Reads the file and calls parse_regions(); each problem names the file too.
Result<RegionSettings> load_regions(const std::string& path, const std::string& zone);

/// Divides `units` in proportion to the regions' shares. The results sum to `units` exactly, and
/// each differs from the exact quotient by less than one. At least one share must be above 0.
std::vector<uint64_t> divide_by_share(uint64_t units, const std::vector<Region>& regions);

}  // namespace damsonport
