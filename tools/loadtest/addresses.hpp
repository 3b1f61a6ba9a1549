// Where everything of an experiment is on the loopback network.
#pragma once
#include <fmt/format.h>

#include <cstdint>
#include <string>

namespace damsonport::loadtest::addresses {

inline constexpr uint16_t key_value_store_port = 2379, cloud_port = 8443, api_port = 8080,
                          peer_port = 8081, region_port = 8082;

inline std::string key_value_store(size_t region) { return fmt::format("127.{}.0.1", 10 + region); }
inline std::string cloud(size_t region) { return fmt::format("127.{}.0.2", 10 + region); }
inline std::string controller(size_t region, size_t n) {
  return fmt::format("127.{}.1.{}", 10 + region, n + 1);
}
// Where controllers of `from` find one of `to`: the link between the regions.
inline std::string link(size_t from, size_t to, size_t n) {
  return fmt::format("127.{}.{}.{}", 10 + from, 20 + to, n + 1);
}
inline std::string workers_prefix(size_t region) { return fmt::format("127.{}.", 100 + region); }

inline std::string region_name(size_t region) { return fmt::format("region-{}", region); }
inline std::string zone_name(size_t region, size_t zone) {
  return fmt::format("region-{}-{}", region, static_cast<char>('a' + zone));
}
inline std::string controller_name(size_t region, size_t n) {
  return fmt::format("quay-{}-{}", region, n);
}

}  // namespace damsonport::loadtest::addresses
