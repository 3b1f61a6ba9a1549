// Streams to and from the controllers of other regions, and the duty of telling them what this
// region has and wants. The networks in between belong to others: what comes is checked against the
// regions file, and is a hint or a committed fact of its sender, never an order.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "coordination/quotas/team_quotas.hpp"
#include "transport/network.hpp"

namespace damsonport::quotas {

class RegionNetwork {
 public:
  // `regions`: null where limits are not divided; then there is no listener and no message.
  RegionNetwork(Loop& loop, Network& network, const Settings& settings,
                const RegionSettings* regions, TeamQuotas& quotas);
  bool listening() const { return !regions_ || (listener_ && listener_->listening()); }
  // Tells the other regions as long as `term` yields one: that of the grant held here.
  Task<void> run(std::function<uint64_t()> fencing_token, std::stop_token stop_token);
  // Something should be told at once.
  void wake() { wake_.notify(); }
  // A message calls for a change of records.
  std::function<void()> on_news;

 private:
  long take(std::string_view bytes);
  void tell_all(uint64_t fencing_token);
  // Says in the log when a region falls silent and when it is heard again.
  void note_silence();

  Loop& loop_;
  const Settings& settings_;
  const RegionSettings* regions_;
  TeamQuotas& quotas_;
  Notification wake_;
  std::map<size_t, std::vector<std::unique_ptr<StreamLink>>> links_;  // by region
  std::unique_ptr<StreamListener> listener_;
  std::set<size_t> silent_;  // regions that were said not to be heard
};

}  // namespace damsonport::quotas
