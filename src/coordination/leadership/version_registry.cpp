#include "coordination/leadership/version_registry.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport {

namespace {
constexpr double retry_s = 0.5;
}  // namespace

bool VersionRegistry::has(const std::string& controller, uint64_t version) const {
  auto it = cache_.versions().find(controller);
  return it != cache_.versions().end() && it->second >= version;
}

bool VersionRegistry::all_have(uint64_t version) const {
  return has(settings_.controller_name, version) &&
         std::all_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const Peer& peer) { return has(peer.name, version); });
}

Task<void> VersionRegistry::announce(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    if (cache_.loaded()) {
      if (has(settings_.controller_name, current)) co_return;
      Transaction transaction;
      // Only this controller writes the key, and always the same value: a late copy does no harm.
      transaction.writes.push_back({keys::version(settings_.controller_name), {{"v", current}}, 0});
      const auto writes = transaction.writes;
      auto reply =
          co_await store_.compare_and_swap(std::move(transaction), RequestPriority::accepting);
      if (reply.outcome == TransactionOutcome::committed) {
        cache_.apply_writes(writes, reply.revision);
        spdlog::info("recorded version {} of this controller", current);
        co_return;
      }
    }
    if (!co_await Sleep(loop_, retry_s * loop_.uniform(0.5, 1.5), stop_token)) co_return;
  }
}

}  // namespace damsonport
