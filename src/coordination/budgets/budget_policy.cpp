#include "coordination/budgets/budget_policy.hpp"

#include <algorithm>
#include <numeric>

#include "protocol/budget_parts.hpp"

namespace damsonport::budgets {

namespace {

uint64_t spare_beyond(const Standing& standing, uint64_t kept) {
  return excess(standing.budget, std::max({kept, standing.used, standing.guaranteed}));
}

// Takes up to `wanted` from what each has, those with most first.
void take(const std::vector<uint64_t>& left, uint64_t wanted, std::vector<Ask>& asks,
          uint64_t Ask::*field) {
  std::vector<size_t> order(left.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t a, size_t b) { return left[a] > left[b]; });
  for (size_t i : order) {
    const uint64_t part = std::min(left[i], wanted);
    wanted -= part;
    asks[i].*field += part;
  }
}

}  // namespace

Spare spare(const Standing& s, bool yields) {
  const uint64_t for_urgent = spare_beyond(s, s.used + s.urgent_need);
  uint64_t for_any = spare_beyond(s, std::max(s.used + s.need, s.recent_peak));
  // Too little to start anything here, and elsewhere it may be enough.
  if (yields && excess(s.budget, s.used) < s.smallest) for_any = spare_beyond(s, s.used);
  return {std::max(for_urgent, for_any), for_any};
}

Unmet unmet(const Standing& s) {
  return {excess(s.used + s.urgent_need, s.budget), excess(s.used + s.need, s.budget)};
}

std::vector<Ask> divide_asks(const Unmet& unmet, const std::vector<Spare>& told) {
  std::vector<Ask> asks(told.size());
  std::vector<uint64_t> urgent_left, any_left;
  for (auto& spare : told) {
    urgent_left.push_back(spare.urgent);
    any_left.push_back(spare.any);
  }
  take(urgent_left, unmet.urgent, asks, &Ask::urgent);
  uint64_t rest = unmet.any;
  for (size_t i = 0; i < told.size(); ++i) {
    asks[i].any = asks[i].urgent;
    rest -= asks[i].urgent;
    any_left[i] = excess(any_left[i], asks[i].urgent);
  }
  take(any_left, rest, asks, &Ask::any);
  return asks;
}

uint64_t decide_gift(const Spare& spare, const Ask& ask, uint64_t on_the_way) {
  const uint64_t urgent = std::min(ask.urgent, spare.urgent);
  const uint64_t any = std::min(ask.any, spare.any);
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

}  // namespace damsonport::budgets
