#include "coordination/replicas/repair_policy.hpp"

#include <algorithm>
#include <cmath>

namespace damsonport::replicas {

namespace {
/// The share of a retry delay that isn't random.
constexpr double min_jitter_share = 0.5;
/// Any policy's longest delay is reached before this many doublings. The limit keeps the result of
/// ldexp finite.
constexpr int max_doublings = 30;
}  // namespace

double backoff_s(const ReplicaPolicy& policy, int failures, double lease_s, double jitter) {
  if (failures <= 0) return 0;
  const int doublings = std::min(failures - 1, max_doublings);
  const double leases =
      std::min(std::ldexp(policy.first_backoff_leases, doublings), policy.longest_backoff_leases);
  return leases * lease_s * (min_jitter_share + (1 - min_jitter_share) * jitter);
}

bool has_turn(const RepairCandidate& candidate, double now, double turn_s) {
  return candidate.granted && candidate.granted_at && now - *candidate.granted_at < turn_s;
}

std::vector<size_t> choose_repairs(const std::vector<RepairCandidate>& candidates,
                                   size_t under_repair, size_t max_repairs, double now,
                                   double turn_s) {
  std::vector<size_t> order;
  for (size_t i = 0; i < candidates.size(); ++i)
    if (now >= candidates[i].backoff_until) order.push_back(i);
  // Candidates whose turn is in progress come first, then those whose last turn is longest ago.
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    const bool a_has_turn = has_turn(candidates[a], now, turn_s);
    if (a_has_turn != has_turn(candidates[b], now, turn_s)) return a_has_turn;
    return candidates[a].granted_at < candidates[b].granted_at;
  });
  const size_t free = max_repairs > under_repair ? max_repairs - under_repair : 0;
  if (order.size() > free) order.resize(free);
  return order;
}

}  // namespace damsonport::replicas
