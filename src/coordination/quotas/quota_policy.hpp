/// Policy by which a region shares its quota of one team's limit with other regions. Pure
/// functions, for one resource at a time (CPUs or accelerators), in quota units.
///
/// The limit holds independently of this policy, since a region commits a transfer before the
/// receiver counts it and never transfers more than its surplus. The policy decides where quota is
/// most useful:
/// - A region keeps the quota that it uses, the quota that its own pending work needs, and its
///   share of the guaranteed quota.
/// - A region also keeps the quota that it needed recently, so that units don't oscillate between
///   regions.
/// - Urgent work of another region takes precedence over this region's work that isn't urgent and
///   over its recent need.
/// - Running tasks are never preempted for another region.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damsonport::quotas {

/// One region's use of its quota and its need, for one team and resource, in quota units.
struct QuotaState {
  uint64_t quota = 0;
  uint64_t used = 0;         ///< by tasks that the records place on machines
  uint64_t guaranteed = 0;   ///< the region's share of the guaranteed quota: never transferred
  uint64_t urgent_need = 0;  ///< of pending urgent work
  uint64_t need = 0;         ///< of all pending work, urgent or not
  uint64_t recent_peak = 0;  ///< largest recent sum of use and need
  /// Need of the smallest pending task; empty if no task is pending.
  std::optional<uint64_t> smallest_need = std::nullopt;
};

/// Quota units that a region can transfer to others.
struct Surplus {
  uint64_t urgent = 0;  ///< for urgent work
  uint64_t any = 0;     ///< for any work; included in `urgent`
};
/// The region's surplus. `defers`: if this region and the other one each hold too little for their
/// smallest pending task, this region leaves its units to the other.
Surplus surplus(const QuotaState& quota_state, bool defers);

/// Quota units that pending work needs beyond the region's quota.
struct Deficit {
  uint64_t urgent = 0;  ///< for urgent work; included in `any`
  uint64_t any = 0;     ///< for any work
};
/// The deficit of the region's pending work.
Deficit deficit(const QuotaState& quota_state);

/// Quota units requested from one region, out of the surplus that the region announced.
struct QuotaRequest {
  uint64_t urgent = 0;  ///< for urgent work; included in `any`
  uint64_t any = 0;     ///< for any work
};
/// Divides the deficit into one request for each entry of `surpluses`; the regions with the largest
/// surplus are used first. No unit is requested from two regions, and no request exceeds the
/// region's surplus.
std::vector<QuotaRequest> divide_requests(const Deficit& deficit,
                                          const std::vector<Surplus>& surpluses);

/// Quota units to transfer to a region that requests them. `unacknowledged`: units sent to the
/// region before, whose receipt the region has not confirmed yet.
uint64_t decide_transfer(const Surplus& surplus, const QuotaRequest& request,
                         uint64_t unacknowledged);

/// The largest value over a sliding period. The period is tracked in halves, so a value expires
/// after half a period to a whole one. Times are in seconds.
class RecentPeak {
 public:
  /// Adds the value at the time `now`; `period_s` must be the same in all calls.
  void add_sample(uint64_t value, double now, double period_s);
  /// The largest value of the period before the newest sample; 0 if there is no sample.
  uint64_t value() const { return current_ > previous_ ? current_ : previous_; }

 private:
  uint64_t current_ = 0;   // in the half period since half_period_start_
  uint64_t previous_ = 0;  // in the half period before
  double half_period_start_ = 0;
};

}  // namespace damsonport::quotas
