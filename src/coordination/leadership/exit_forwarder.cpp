#include "coordination/leadership/exit_forwarder.hpp"

#include <spdlog/spdlog.h>

namespace damsonport {

namespace {
// Shares of a report period: between two writes, and between two looks at what is committed.
constexpr double write_pause_share = 0.1, look_share = 0.5;
}  // namespace

bool ExitForwarder::wanted(const ForwardedExit& exit) const {
  return cache_.places(exit.task, exit.attempt, exit.machine);
}

void ExitForwarder::saw(uint64_t fencing_token, const ForwardedExit& exit) {
  if (fencing_token < fencing_token_ || !wanted(exit)) return;
  if (fencing_token > fencing_token_) seen_.clear();
  fencing_token_ = fencing_token;
  if (seen_.insert(exit).second) changed_.notify();
}

void ExitForwarder::forget_what_is_committed() {
  std::erase_if(seen_, [&](const ForwardedExit& exit) { return !wanted(exit); });
}

// As many as fit into one value; the others follow when these are committed.
ForwardedExits ExitForwarder::next_record() const {
  const double most = settings_.state_limits.always().value_bytes();
  constexpr size_t comma = 1;
  ForwardedExits record{fencing_token_, {}};
  size_t bytes = stored_size(encode_forwarded_exits(record));
  for (auto& exit : seen_) {
    bytes += stored_size(encode_forwarded_exit(exit)) + comma;
    if (static_cast<double>(bytes) > most) break;
    record.exits.push_back(exit);
  }
  return record;
}

// Only this controller writes the key. An older copy that comes late tells what is still true.
Task<bool> ExitForwarder::write(ForwardedExits record) {
  Transaction transaction;
  const bool empty = record.exits.empty();
  transaction.writes.push_back({keys::forwarded_exits(settings_.controller_name),
                                empty ? Json() : encode_forwarded_exits(record), 0});
  const auto writes = transaction.writes;
  auto reply =
      co_await store_.compare_and_swap(std::move(transaction), RequestPriority::scheduling);
  if (reply.outcome != TransactionOutcome::committed) co_return false;
  cache_.apply_writes(writes, reply.revision);
  spdlog::debug("{} exits relayed for the holder with term {}", record.exits.size(),
                record.fencing_token);
  co_return true;
}

Task<void> ExitForwarder::run(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    co_await changed_.wait(settings_.heartbeat_interval_s * look_share, stop_token);
    if (!cache_.loaded()) continue;
    forget_what_is_committed();
    auto record = next_record();
    auto written = cache_.forwarded_exits().find(settings_.controller_name);
    const bool stands = written == cache_.forwarded_exits().end()
                            ? record.exits.empty()
                            : written->second.exits == record.exits;
    if (!stands) co_await write(std::move(record));
    if (!co_await Sleep(loop_, settings_.heartbeat_interval_s * write_pause_share, stop_token))
      co_return;
  }
}

}  // namespace damsonport
