#include "coordination/quotas/quota_policy.hpp"

#include <algorithm>
#include <numeric>

#include "protocol/quota_units.hpp"

namespace damsonport::quotas {

namespace {

/// Units of the quota that exceed the largest of `kept`, the units used and the guaranteed units.
uint64_t surplus_beyond(const QuotaState& quota_state, uint64_t kept) {
  return saturating_difference(quota_state.quota,
                               std::max({kept, quota_state.used, quota_state.guaranteed}));
}

/// Distributes `wanted` units over the requests, each up to the region's entry in `surpluses`; the
/// largest surplus is used first. `field`: the field of the requests to add to.
void distribute(const std::vector<uint64_t>& surpluses, uint64_t wanted,
                std::vector<QuotaRequest>& requests, uint64_t QuotaRequest::*field) {
  std::vector<size_t> order(surpluses.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t a, size_t b) { return surpluses[a] > surpluses[b]; });
  for (const size_t region : order) {
    const uint64_t units = std::min(surpluses[region], wanted);
    wanted -= units;
    requests[region].*field += units;
  }
}

}  // namespace

Surplus surplus(const QuotaState& s, bool defers) {
  const uint64_t for_urgent = surplus_beyond(s, s.used + s.urgent_need);
  uint64_t for_any = surplus_beyond(s, std::max(s.used + s.need, s.recent_peak));
  // The free quota is too small for any pending task here, but may be enough in the other region.
  if (defers && s.smallest_need && saturating_difference(s.quota, s.used) < *s.smallest_need)
    for_any = surplus_beyond(s, s.used);
  return {std::max(for_urgent, for_any), for_any};
}

Deficit deficit(const QuotaState& s) {
  return {saturating_difference(s.used + s.urgent_need, s.quota),
          saturating_difference(s.used + s.need, s.quota)};
}

std::vector<QuotaRequest> divide_requests(const Deficit& deficit,
                                          const std::vector<Surplus>& surpluses) {
  std::vector<QuotaRequest> requests(surpluses.size());
  std::vector<uint64_t> urgent_left, any_left;
  for (const auto& surplus : surpluses) {
    urgent_left.push_back(surplus.urgent);
    any_left.push_back(surplus.any);
  }
  distribute(urgent_left, deficit.urgent, requests, &QuotaRequest::urgent);
  // Units requested for urgent work also count towards the deficit of any work.
  uint64_t rest = deficit.any;
  for (size_t i = 0; i < surpluses.size(); ++i) {
    requests[i].any = requests[i].urgent;
    rest -= requests[i].urgent;
    any_left[i] = saturating_difference(any_left[i], requests[i].urgent);
  }
  distribute(any_left, rest, requests, &QuotaRequest::any);
  return requests;
}

uint64_t decide_transfer(const Surplus& surplus, const QuotaRequest& request,
                         uint64_t unacknowledged) {
  const uint64_t urgent = std::min(request.urgent, surplus.urgent);
  const uint64_t any = std::min(request.any, surplus.any);
  return saturating_difference(std::max(urgent, any), unacknowledged);
}

void RecentPeak::add_sample(uint64_t value, double now, double period_s) {
  if (now - half_period_start_ > period_s / 2) {
    previous_ = now - half_period_start_ > period_s ? 0 : current_;
    current_ = 0;
    half_period_start_ = now;
  }
  current_ = std::max(current_, value);
}

}  // namespace damsonport::quotas
