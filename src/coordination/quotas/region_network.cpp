#include "coordination/quotas/region_network.hpp"

#include <spdlog/spdlog.h>

namespace damsonport::quotas {

namespace {
/// Longest time between two messages to a region, in heartbeat intervals.
constexpr double max_message_intervals = 1.0;
/// Shortest time between two messages to a region, in heartbeat intervals.
constexpr double min_message_intervals = 0.05;
/// The period is drawn uniformly between these shares of the longest time, so that controllers
/// don't send in lockstep.
constexpr double min_period_share = 0.85;
constexpr double max_period_share = 1.05;
/// Streams accepted from each controller of another region: the one in use, and one that is being
/// replaced.
constexpr size_t streams_per_peer = 2;
}  // namespace

RegionNetwork::RegionNetwork(Loop& loop, Network& network, const Settings& settings,
                             const RegionSettings* regions, TeamQuotas& quotas)
    : loop_(loop), settings_(settings), regions_(regions), quotas_(quotas), wake_(loop) {
  if (!regions_) return;
  size_t peers = 0;
  for (size_t i = 0; i < regions_->regions.size(); ++i) {
    if (i == regions_->own_index) continue;
    for (auto& controller : regions_->regions[i].controllers) {
      links_[i].push_back(network.link(controller.endpoint));
      ++peers;
    }
  }
  auto* own = regions_->controller(settings.controller_name);
  if (!own) {
    spdlog::error("the regions file doesn't name the controller {}", settings.controller_name);
    return;
  }
  listener_ = network.listener(own->endpoint, streams_per_peer * std::max<size_t>(peers, 1),
                               [this](std::string_view bytes) { return receive(bytes); });
}

long RegionNetwork::receive(std::string_view bytes) {
  long consumed = 0;
  bool records_due = false;
  for (;;) {
    RegionMessage message;
    size_t used = 0;
    const auto status =
        decode_region_message(bytes.substr(static_cast<size_t>(consumed)), message, used);
    if (status == FrameStatus::malformed) return -1;
    if (status == FrameStatus::incomplete) break;
    consumed += static_cast<long>(used);
    records_due |= quotas_.receive_message(message, loop_.now());
  }
  if (records_due && on_quota_changes_due) on_quota_changes_due();
  return consumed;
}

void RegionNetwork::send_to_all(uint64_t fencing_token) {
  for (auto& [region, links] : links_) {
    const auto bytes = encode_region_message(quotas_.message_to(region, fencing_token));
    for (auto& link : links) link->send(bytes);
  }
}

void RegionNetwork::log_reachability() {
  for (auto& [region, links] : links_) {
    const bool reachable = quotas_.has_recent_message(region, loop_.now());
    const std::string& name = regions_->regions[region].name;
    if (!reachable && unreachable_.insert(region).second)
      spdlog::warn("region {} is unreachable: no quota units are transferred to it", name);
    if (reachable && unreachable_.erase(region) > 0)
      spdlog::info("region {} is reachable again", name);
  }
}

Task<void> RegionNetwork::run(std::function<uint64_t()> fencing_token, std::stop_token stop_token) {
  if (links_.empty()) co_return;
  while (!stop_token.stop_requested()) {
    log_reachability();
    if (const uint64_t token = fencing_token(); token != 0) send_to_all(token);
    if (!co_await Sleep(loop_, settings_.heartbeat_interval_s * min_message_intervals, stop_token))
      co_return;
    co_await wake_.wait(settings_.heartbeat_interval_s * max_message_intervals *
                            loop_.uniform(min_period_share, max_period_share),
                        stop_token);
  }
}

}  // namespace damsonport::quotas
