#include "coordination/replicas/repair_policy.hpp"

#include <algorithm>
#include <cmath>

namespace damsonport::replicas {

namespace {
constexpr double least_jitter_share = 0.5;
constexpr int most_doublings = 30;
}  // namespace

double backoff_s(const ReplicaPolicy& policy, int failures, double lease_s, double jitter) {
  if (failures <= 0) return 0;
  const int doublings = std::min(failures - 1, most_doublings);
  const double leases =
      std::min(std::ldexp(policy.first_backoff_leases, doublings), policy.longest_backoff_leases);
  return leases * lease_s * (least_jitter_share + (1 - least_jitter_share) * jitter);
}

std::vector<size_t> choose_repairs(const std::vector<RepairCandidate>& candidates,
                                   size_t under_repair, size_t most, double now, double turn_s) {
  std::vector<size_t> order;
  for (size_t i = 0; i < candidates.size(); ++i)
    if (now >= candidates[i].backoff_until) order.push_back(i);
  auto has_turn = [&](size_t i) {
    return candidates[i].offered && now - candidates[i].offered_at < turn_s;
  };
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    if (has_turn(a) != has_turn(b)) return has_turn(a);
    return candidates[a].offered_at < candidates[b].offered_at;
  });
  const size_t free = most > under_repair ? most - under_repair : 0;
  if (order.size() > free) order.resize(free);
  return order;
}

}  // namespace damsonport::replicas
