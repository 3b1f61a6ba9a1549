#include "coordination/leadership/version_registry.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport {

namespace {
constexpr double retry_interval_s = 0.5;
}  // namespace

bool VersionRegistry::has_recorded(const std::string& controller, uint64_t version) const {
  auto recorded = cache_.versions().find(controller);
  return recorded != cache_.versions().end() && recorded->second >= version;
}

bool VersionRegistry::all_have_recorded(uint64_t version) const {
  return has_recorded(settings_.controller_name, version) &&
         std::all_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const Peer& peer) { return has_recorded(peer.name, version); });
}

// Only this controller writes the key, and always with the same value, so a late copy of the write
// does no harm.
Task<bool> VersionRegistry::write_current_version() {
  Transaction transaction;
  transaction.writes.push_back(
      {keys::version(settings_.controller_name), encode_version(current), 0});
  const auto writes = transaction.writes;
  const auto result =
      co_await store_.compare_and_swap(std::move(transaction), RequestPriority::accepting);
  if (result.outcome != TransactionOutcome::committed) co_return false;
  cache_.apply_writes(writes, result.revision);
  spdlog::info("recorded version {} of this controller", current);
  co_return true;
}

Task<void> VersionRegistry::announce(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    if (cache_.loaded()) {
      if (has_recorded(settings_.controller_name, current)) co_return;
      // A local variable, because GCC 12 lays out the coroutine's frame wrongly if the co_await is
      // in the condition.
      const bool written = co_await write_current_version();
      if (written) co_return;
    }
    if (!co_await Sleep(loop_, retry_interval_s * loop_.uniform(0.5, 1.5), stop_token)) co_return;
  }
}

}  // namespace damsonport
