/// The loopback addresses, ports and names of everything that takes part in an experiment. Each
/// region has its own 127.x networks, so that all processes run on one host without port conflicts.
#pragma once
#include <fmt/format.h>

#include <cstdint>
#include <string>

namespace damsonport::loadtest::addresses {

/// Ports are the same in all regions; the addresses differ.
inline constexpr uint16_t key_value_store_port = 2379, cloud_port = 8443, api_port = 8080,
                          peer_port = 8081, region_port = 8082;

/// Addresses of the simulated key-value store, the simulated cloud and one controller of a region.
inline std::string key_value_store(size_t region) { return fmt::format("127.{}.0.1", 10 + region); }
inline std::string cloud(size_t region) { return fmt::format("127.{}.0.2", 10 + region); }
inline std::string controller(size_t region, size_t n) {
  return fmt::format("127.{}.1.{}", 10 + region, n + 1);
}
/// The address at which controllers of region `from` reach controller `n` of region `to`. The link
/// process listens there and forwards to the controller with the delay of the link.
inline std::string link(size_t from, size_t to, size_t n) {
  return fmt::format("127.{}.{}.{}", 10 + from, 20 + to, n + 1);
}
/// Prefix of the addresses of the region's workers, with a dot at the end.
inline std::string workers_prefix(size_t region) { return fmt::format("127.{}.", 100 + region); }

/// Names of regions, zones and controllers, as the controllers' settings give them.
inline std::string region_name(size_t region) { return fmt::format("region-{}", region); }
inline std::string zone_name(size_t region, size_t zone) {
  return fmt::format("region-{}-{}", region, static_cast<char>('a' + zone));
}
inline std::string controller_name(size_t region, size_t n) {
  return fmt::format("quay-{}-{}", region, n);
}

}  // namespace damsonport::loadtest::addresses
