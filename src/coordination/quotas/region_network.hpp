/// Exchanges quota messages with the controllers of other regions. A message states the transfers,
/// surplus and requests of the sender's region. The networks between regions aren't trusted:
/// received messages are checked against the regions file. Transfer totals in a message are
/// committed by the sender and the rest are hints; no message is a command.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "coordination/quotas/team_quotas.hpp"
#include "transport/network.hpp"

namespace damsonport::quotas {

/// Owned by the controller for the lifetime of the process. The streams call back on the
/// controller's loop. Only the coroutine of `run` uses the set of unreachable regions.
class RegionNetwork {
 public:
  /// `regions`: null if limits are not divided among regions; then no listener is opened and no
  /// message is sent.
  RegionNetwork(Loop& loop, Network& network, const Settings& settings,
                const RegionSettings* regions, TeamQuotas& quotas);
  /// The listener for other regions is open, or none is needed.
  bool listening() const { return !regions_ || (listener_ && listener_->listening()); }
  /// Sends messages to the other regions until `stop_token` requests a stop, but only while this
  /// controller holds the shard lease. `fencing_token` returns the token of that lease, or 0 if
  /// another controller holds it.
  Task<void> run(std::function<uint64_t()> fencing_token, std::stop_token stop_token);
  /// Sends the next message without waiting for the period to end.
  void wake() { wake_.notify(); }
  /// Called when a received message requires a change of the quota records.
  std::function<void()> on_quota_changes_due;

 private:
  // Handles all complete messages in `bytes`. Returns the number of bytes consumed, or -1 if the
  // stream is malformed.
  long receive(std::string_view bytes);
  void send_to_all(uint64_t fencing_token);
  // Logs when a region becomes unreachable and when it becomes reachable again.
  void log_reachability();

  Loop& loop_;
  const Settings& settings_;
  const RegionSettings* regions_;
  TeamQuotas& quotas_;
  Notification wake_;
  std::map<size_t, std::vector<std::unique_ptr<StreamLink>>> links_;  // by region index
  std::unique_ptr<StreamListener> listener_;
  std::set<size_t> unreachable_;  // indices of the regions last logged as unreachable
};

}  // namespace damsonport::quotas
