#include "coordination/leadership/exit_forwarder.hpp"

#include <spdlog/spdlog.h>

namespace damsonport {

namespace {
// The shortest pause between two writes, and the longest time between two checks for committed
// exits, as shares of a heartbeat interval.
constexpr double min_write_interval_share = 0.1;
constexpr double max_check_interval_share = 0.5;
}  // namespace

bool ExitForwarder::is_uncommitted(const ForwardedExit& exit) const {
  return cache_.has_assignment(exit.task, exit.attempt, exit.machine);
}

void ExitForwarder::forward(uint64_t fencing_token, const Heartbeat& heartbeat) {
  if (fencing_token < fencing_token_) return;
  if (fencing_token > fencing_token_) reported_.clear();
  fencing_token_ = fencing_token;
  ReportedExits& reported = reported_[heartbeat.machine];
  if (heartbeat.agent_epoch < reported.agent_epoch) return;
  if (heartbeat.agent_epoch > reported.agent_epoch) reported.exits.clear();
  reported.agent_epoch = heartbeat.agent_epoch;
  reported.reported_at = loop_.now();
  for (auto& task : heartbeat.tasks) {
    if (task.state != TaskState::exited) continue;
    const ForwardedExit exit{heartbeat.machine, task.task, task.attempt, task.cause,
                             heartbeat.agent_epoch};
    if (!is_uncommitted(exit) || !reported.exits.insert(exit).second) continue;
    spdlog::debug("{} reports in agent epoch {} that {} attempt {} has ended: cause {}",
                  exit.machine, exit.agent_epoch, exit.task.text(), exit.attempt,
                  static_cast<int>(exit.cause));
    changed_.notify();
  }
}

void ExitForwarder::forget_committed_and_old() {
  const double oldest = loop_.now() - settings_.lease_s;
  std::erase_if(reported_, [&](auto& entry) { return entry.second.reported_at < oldest; });
  for (auto& [machine, reported] : reported_)
    std::erase_if(reported.exits, [&](auto& exit) { return !is_uncommitted(exit); });
}

// As many exits as fit into one value. The others follow when these are committed.
ForwardedExits ExitForwarder::next_record() const {
  constexpr size_t separator_bytes = 1;
  const double max_bytes = settings_.state_limits.minimum().value_bytes();
  ForwardedExits record{fencing_token_, {}};
  size_t bytes = stored_size(encode_forwarded_exits(record));
  for (auto& [machine, reported] : reported_) {
    for (auto& exit : reported.exits) {
      bytes += stored_size(encode_forwarded_exit(exit)) + separator_bytes;
      if (static_cast<double>(bytes) > max_bytes) return record;
      record.exits.push_back(exit);
    }
  }
  return record;
}

bool ExitForwarder::is_recorded(const ForwardedExits& record) const {
  auto written = cache_.forwarded_exits().find(settings_.controller_name);
  if (written == cache_.forwarded_exits().end()) return record.exits.empty();
  return written->second.exits == record.exits &&
         (record.exits.empty() || written->second.fencing_token == record.fencing_token);
}

// Only this controller writes the key. A late copy of an earlier write does no harm, because each
// exit names the agent epoch in which it is true.
Task<void> ExitForwarder::write(ForwardedExits record) {
  Json value = record.exits.empty() ? Json() : encode_forwarded_exits(record);
  Transaction transaction;
  transaction.writes.push_back(
      {keys::forwarded_exits(settings_.controller_name), std::move(value), 0});
  const auto writes = transaction.writes;
  const auto result =
      co_await store_.compare_and_swap(std::move(transaction), RequestPriority::scheduling);
  if (result.outcome != TransactionOutcome::committed) co_return;
  cache_.apply_writes(writes, result.revision);
  spdlog::debug("forwarded {} exits to the shard leader with fencing token {}", record.exits.size(),
                record.fencing_token);
}

Task<void> ExitForwarder::run(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    co_await changed_.wait(settings_.heartbeat_interval_s * max_check_interval_share, stop_token);
    if (!cache_.loaded()) continue;
    forget_committed_and_old();
    auto record = next_record();
    if (!is_recorded(record)) co_await write(std::move(record));
    if (!co_await Sleep(loop_, settings_.heartbeat_interval_s * min_write_interval_share,
                        stop_token))
      co_return;
  }
}

}  // namespace damsonport
