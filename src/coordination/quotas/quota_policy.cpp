#include "coordination/quotas/quota_policy.hpp"

#include <algorithm>
#include <numeric>

#include "protocol/quota_units.hpp"

namespace damsonport::quotas {

namespace {

uint64_t spare_beyond(const Standing& standing, uint64_t kept) {
  return excess(standing.quota, std::max({kept, standing.used, standing.guaranteed}));
}

// Takes up to `wanted` from what each has, those with most first.
void take(const std::vector<uint64_t>& left, uint64_t wanted, std::vector<QuotaRequest>& requests,
          uint64_t QuotaRequest::*field) {
  std::vector<size_t> order(left.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t a, size_t b) { return left[a] > left[b]; });
  for (size_t i : order) {
    const uint64_t part = std::min(left[i], wanted);
    wanted -= part;
    requests[i].*field += part;
  }
}

}  // namespace

Surplus surplus(const Standing& s, bool defers) {
  const uint64_t for_urgent = spare_beyond(s, s.used + s.urgent_need);
  uint64_t for_any = spare_beyond(s, std::max(s.used + s.need, s.recent_peak));
  // Too little to start anything here, and elsewhere it may be enough.
  if (defers && excess(s.quota, s.used) < s.smallest) for_any = spare_beyond(s, s.used);
  return {std::max(for_urgent, for_any), for_any};
}

Deficit deficit(const Standing& s) {
  return {excess(s.used + s.urgent_need, s.quota), excess(s.used + s.need, s.quota)};
}

std::vector<QuotaRequest> divide_requests(const Deficit& deficit,
                                          const std::vector<Surplus>& told) {
  std::vector<QuotaRequest> requests(told.size());
  std::vector<uint64_t> urgent_left, any_left;
  for (auto& surplus : told) {
    urgent_left.push_back(surplus.urgent);
    any_left.push_back(surplus.any);
  }
  take(urgent_left, deficit.urgent, requests, &QuotaRequest::urgent);
  uint64_t rest = deficit.any;
  for (size_t i = 0; i < told.size(); ++i) {
    requests[i].any = requests[i].urgent;
    rest -= requests[i].urgent;
    any_left[i] = excess(any_left[i], requests[i].urgent);
  }
  take(any_left, rest, requests, &QuotaRequest::any);
  return requests;
}

uint64_t decide_transfer(const Surplus& surplus, const QuotaRequest& request, uint64_t on_the_way) {
  const uint64_t urgent = std::min(request.urgent, surplus.urgent);
  const uint64_t any = std::min(request.any, surplus.any);
  return excess(std::max(urgent, any), on_the_way);
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
