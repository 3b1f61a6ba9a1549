/// How a region shares its quota of one team's limit with other regions. Pure; for one resource
/// (CPUs or accelerators), in quota units.
///
/// Whatever is decided here, the limit holds: transfers are committed by the sender first and are
/// never more than its surplus. The rules below only decide where the quota is of most use:
/// - a region keeps what it uses, what its own pending work needs, and its share of the guarantee;
/// - it also keeps what it needed lately, so that units don't go to and fro;
/// - urgent work elsewhere goes before work here that isn't urgent, and before what was needed
///   lately;
/// - nothing that runs is preempted for another region.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damsonport::quotas {

/// One region's position in one team's limit; all figures in quota units.
struct QuotaState {
  uint64_t quota = 0;
  uint64_t used = 0;         ///< By tasks in the records.
  uint64_t guaranteed = 0;   ///< The region's share of the guarantee: never transferred.
  uint64_t urgent_need = 0;  ///< Of pending urgent work.
  uint64_t need = 0;         ///< Of all pending work, urgent or not.
  uint64_t recent_peak = 0;  ///< Of use and need together.
  /// Of the smallest pending task; empty: none is pending.
  std::optional<uint64_t> smallest_need = std::nullopt;
};

/// What could be transferred for urgent work and for any work elsewhere.
struct Surplus {
  uint64_t urgent = 0;
  uint64_t any = 0;  ///< Part of the first.
};
/// `defers`: of two regions that each hold too little for their smallest pending task, this one
/// leaves its units to the other.
Surplus surplus(const QuotaState& quota_state, bool defers);

/// What pending work needs beyond the quota.
struct Deficit {
  uint64_t urgent = 0;  ///< Part of the second.
  uint64_t any = 0;
};
Deficit deficit(const QuotaState& quota_state);

/// What is requested from one region, out of the surplus that it announced.
struct QuotaRequest {
  uint64_t urgent = 0;  ///< Part of the second.
  uint64_t any = 0;
};
/// One request for each entry of `surpluses`: to those with the largest surplus first. Nothing is
/// requested twice, and of no region more than its surplus.
std::vector<QuotaRequest> divide_requests(const Deficit& deficit,
                                          const std::vector<Surplus>& surpluses);

/// Units to transfer to a region that requests them. `unacknowledged`: sent before, and its receipt
/// not confirmed yet.
uint64_t decide_transfer(const Surplus& surplus, const QuotaRequest& request,
                         uint64_t unacknowledged);

/// The largest value over a period, give or take half of it. Times in seconds.
class RecentPeak {
 public:
  void add_sample(uint64_t value, double now, double period_s);
  uint64_t value() const { return current_ > previous_ ? current_ : previous_; }

 private:
  uint64_t current_ = 0;   // of the half period that began at half_period_start_
  uint64_t previous_ = 0;  // of the one before
  double half_period_start_ = 0;
};

}  // namespace damsonport::quotas
