#include "coordination/quotas/region_network.hpp"

#include <spdlog/spdlog.h>

namespace damsonport::quotas {

namespace {
// Between two messages to a region, in report periods: at the most, and when there is news.
constexpr double period_reports = 1.0, news_pause_reports = 0.05;
// Streams accepted for each controller of the other regions: one in use, one that is being left.
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
                               [this](std::string_view bytes) { return take(bytes); });
}

long RegionNetwork::take(std::string_view bytes) {
  long taken = 0;
  bool news = false;
  for (;;) {
    RegionMessage message;
    size_t used = 0;
    const auto framed =
        decode_region_message(bytes.substr(static_cast<size_t>(taken)), message, used);
    if (framed == Framed::bad) return -1;
    if (framed == Framed::partial) break;
    taken += static_cast<long>(used);
    news |= quotas_.receive_message(message, loop_.now());
  }
  if (news && on_news) on_news();
  return taken;
}

void RegionNetwork::tell_all(uint64_t fencing_token) {
  for (auto& [region, links] : links_) {
    const auto bytes = encode_region_message(quotas_.message_to(region, fencing_token));
    for (auto& link : links) link->send(bytes);
  }
}

void RegionNetwork::note_silence() {
  for (auto& [region, links] : links_) {
    const bool silent = !quotas_.fresh(region, loop_.now());
    if (silent && silent_.insert(region).second)
      spdlog::warn("region {} isn't heard: budgets stay as they are between it and this one",
                   regions_->regions[region].name);
    if (!silent && silent_.erase(region) > 0)
      spdlog::info("region {} is heard", regions_->regions[region].name);
  }
}

Task<void> RegionNetwork::run(std::function<uint64_t()> fencing_token, std::stop_token stop_token) {
  if (links_.empty()) co_return;
  while (!stop_token.stop_requested()) {
    note_silence();
    if (const uint64_t held = fencing_token(); held != 0) tell_all(held);
    if (!co_await Sleep(loop_, settings_.heartbeat_interval_s * news_pause_reports, stop_token))
      co_return;
    co_await wake_.wait(settings_.heartbeat_interval_s * period_reports * loop_.uniform(0.85, 1.05),
                        stop_token);
  }
}

}  // namespace damsonport::quotas
