/// Streams to and from the controllers of other regions, and the messages with this region's
/// transfers, surplus and requests. The networks in between belong to others: what is received is
/// checked against the regions file, and is a hint or a committed fact of its sender, never a
/// command.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "coordination/quotas/team_quotas.hpp"
#include "transport/network.hpp"

namespace damsonport::quotas {

/// One of each controller, for its life. The streams call back on the controller's loop; the
/// coroutine of `run` owns the set of unreachable regions.
class RegionNetwork {
 public:
  /// `regions`: null where limits are not divided; then there is neither a listener nor a message.
  RegionNetwork(Loop& loop, Network& network, const Settings& settings,
                const RegionSettings* regions, TeamQuotas& quotas);
  bool listening() const { return !regions_ || (listener_ && listener_->listening()); }
  /// Sends to the other regions as long as `fencing_token` yields one other than 0: that of the
  /// shard lease that this controller has.
  Task<void> run(std::function<uint64_t()> fencing_token, std::stop_token stop_token);
  /// Something is to be sent at once.
  void wake() { wake_.notify(); }
  /// Called when a message calls for a change of records.
  std::function<void()> on_records_due;

 private:
  // Bytes consumed, or -1 for a broken stream.
  long receive(std::string_view bytes);
  void send_to_all(uint64_t fencing_token);
  // Logs when a region becomes unreachable and when it is reachable again.
  void log_reachability();

  Loop& loop_;
  const Settings& settings_;
  const RegionSettings* regions_;
  TeamQuotas& quotas_;
  Notification wake_;
  std::map<size_t, std::vector<std::unique_ptr<StreamLink>>> links_;  // by region
  std::unique_ptr<StreamListener> listener_;
  std::set<size_t> unreachable_;  // regions, as logged
};

}  // namespace damsonport::quotas
