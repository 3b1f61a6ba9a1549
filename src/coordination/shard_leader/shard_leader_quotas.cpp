// The shard leader's part in dividing the teams' limits among regions. Only the shard leader
// changes this region's quota records, between two of its other transactions.
#include <spdlog/spdlog.h>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

namespace {
// Heartbeat intervals between two measurements of the teams' demand.
constexpr double quota_check_intervals = 0.1;
}  // namespace

// Whether quota can be transferred to another region follows from the records alone. No start of
// this shard leader is being committed now, since it writes one transaction at a time, and starts
// of an earlier shard leader fail on the precondition on the shard table.
Task<ShardLeader::StepResult> ShardLeader::commit_quotas(std::stop_token stop_token) {
  if (!deps_.quotas.exchanging() || !lease_.records_current()) co_return StepResult::idle;
  // If a controller of an older version took over, it would use the teams' whole limits.
  if (!deps_.versions.all_have_recorded(VersionRegistry::quotas)) co_return StepResult::idle;
  const double now = loop_.now();
  if (!quota_changes_due_ && now < next_quota_check_at_) co_return StepResult::idle;
  quota_changes_due_ = false;
  next_quota_check_at_ = now + settings_.heartbeat_interval_s * quota_check_intervals;
  deps_.quotas.measure(now);
  // One write fewer than the store accepts in a transaction.
  Transaction transaction = deps_.quotas.next_changes(limits().txn_writes - 1);
  if (transaction.writes.empty()) {
    announce_deficits();
    co_return StepResult::idle;
  }
  transaction.preconditions[keys::shard_table] = cache_.shard_table_version();
  spdlog::debug("budgets of {} teams change", transaction.writes.size());
  CommitOptions options;
  const CommitResult result =
      co_await commit_and_apply(std::move(transaction), stop_token, std::move(options));
  if (result == CommitResult::committed) scheduling_requested_ = true;
  quota_changes_due_ = true;  // more changes may be due
  deps_.regions.wake();
  co_return StepResult::busy;
}

// Sends a message to the other regions as soon as some team's pending work needs more than its
// quota here.
void ShardLeader::announce_deficits() {
  const bool has_deficit = deps_.quotas.any_deficit();
  if (has_deficit && !deficit_announced_) deps_.regions.wake();
  deficit_announced_ = has_deficit;
}

void ShardLeader::on_quota_changes_due() {
  quota_changes_due_ = true;
  deps_.changed.notify();
}

}  // namespace damsonport
