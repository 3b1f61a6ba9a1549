#include "coordination/quotas/quota_policy.hpp"

#include <algorithm>
#include <numeric>

#include "protocol/quota_units.hpp"

namespace damsonport::quotas {

namespace {

/// Units beyond `kept`, what is used and what is guaranteed.
uint64_t surplus_beyond(const Standing& standing, uint64_t kept) {
  return saturating_difference(standing.quota,
                               std::max({kept, standing.used, standing.guaranteed}));
}

/// Adds to each region's request what it can cover of `wanted`, those with the largest surplus
/// first. `field`: the urgent requests or those for any work.
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

Surplus surplus(const Standing& s, bool defers) {
  const uint64_t for_urgent = surplus_beyond(s, s.used + s.urgent_need);
  uint64_t for_any = surplus_beyond(s, std::max(s.used + s.need, s.recent_peak));
  // Too little to start anything here, and elsewhere it may be enough.
  if (defers && s.smallest_need && saturating_difference(s.quota, s.used) < *s.smallest_need)
    for_any = surplus_beyond(s, s.used);
  return {std::max(for_urgent, for_any), for_any};
}

Deficit deficit(const Standing& s) {
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
  // What is requested for urgent work counts for the deficit of any work too.
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

void RecentPeak::note(uint64_t value, double now, double period_s) {
  if (now - begun_ > period_s / 2) {
    previous_ = now - begun_ > period_s ? 0 : current_;
    current_ = 0;
    begun_ = now;
  }
  current_ = std::max(current_, value);
}

}  // namespace damsonport::quotas
