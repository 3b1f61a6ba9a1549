#include "coordination/autoscaling/machine_type_catalog.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport {

namespace {
/// Interval between two refreshes of a loaded catalog, in which only prices change.
constexpr double refresh_s = 120;
constexpr double request_timeout_s = 3.0;
/// Added between two attempts to the shortest interval that the cloud's rate limit permits.
constexpr double retry_margin_s = 0.2;
/// Random deviation of a delay in either direction, as a share of the delay.
constexpr double delay_jitter = 0.2;
/// Lower bound of the highest price: keeps ratios to it finite if no type in the catalog has a
/// price.
constexpr double min_highest_price = 1e-9;

}  // namespace

Task<void> MachineTypeCatalog::refresh_periodically(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    auto reply =
        co_await http_.request(settings_.cloud, Method::get, "/catalog", {}, request_timeout_s);
    auto types =
        reply.status == 200
            ? decode_catalog(decode_map(reply.body))
            : Result<std::vector<MachineType>>(Error{"status " + std::to_string(reply.status)});
    if (types && !types->empty()) {
      if (!loaded()) spdlog::info("machine type catalogue read: {} types", types->size());
      types_ = std::move(*types);
    } else if (!loaded()) {
      const std::string reason = types ? "it is empty" : types.error();
      if (auto times = warning_.record(reason, loop_.now()))
        spdlog::warn("machine type catalogue not available yet: {} ({} times)", reason, *times);
    }
    const double delay_s = loaded() ? refresh_s : 1.0 / settings_.cloud_rps + retry_margin_s;
    if (!co_await Sleep(loop_, delay_s * loop_.uniform(1 - delay_jitter, 1 + delay_jitter),
                        stop_token))
      co_return;
  }
}

const MachineType* MachineTypeCatalog::type(const std::string& name) const {
  return find_machine_type(types_, name);
}

double MachineTypeCatalog::highest_price() const {
  double highest = 0;
  for (const auto& type : types_) highest = std::max(highest, type.price);
  return std::max(highest, min_highest_price);
}

}  // namespace damsonport
