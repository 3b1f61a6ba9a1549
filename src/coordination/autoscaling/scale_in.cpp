#include "coordination/autoscaling/scale_in.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <map>

namespace damsonport {

namespace {
constexpr size_t max_machines_per_call = 100;
// Limit for one call of return_machines(), because scale-out shares the cloud's call rate.
constexpr size_t max_calls_per_tick = 4;
constexpr double cloud_timeout_s = 3.0;
}  // namespace

void ScaleIn::begin_lease(uint64_t fencing_token) {
  fencing_token_ = fencing_token;
  tracker_.clear();
}

void ScaleIn::request(const std::string& machine, const std::string& reason, ScaleInCause cause) {
  if (!tracker_.request(machine, cause)) return;
  deps_.on_requested(machine);
  spdlog::info("returning {}: {}", machine, reason);
}

void ScaleIn::resume(const std::string& machine) {
  tracker_.request(machine, ScaleInCause::policy);
}

void ScaleIn::note_heartbeat(const std::string& machine) {
  if (!tracker_.is_declared_dead(machine)) return;
  if (tracker_.note_heartbeat(machine, deps_.cache.has_tombstone(machine)))
    spdlog::info("{} sends heartbeats again and is kept", machine);
}

size_t ScaleIn::max_per_tombstone() const {
  return machines_per_tombstone(deps_.settings.state_limits.minimum().value_kb);
}

// Many machines can fail at once, and the tasks of each machine wait for its return. Their
// tombstones are therefore written in batches, up to a hundred machines in one record, and the
// machines with the most urgent tasks come first.
Task<void> ScaleIn::return_machines(ScaleInTracker::Selection selection,
                                    std::stop_token stop_token) {
  co_await write_deferred_tombstones();
  for (size_t calls = 0; calls < max_calls_per_tick && deps_.is_leading(); ++calls) {
    std::vector<std::string> without_tombstone;
    std::vector<std::string> with_tombstone;
    for (auto& machine : tracker_.ready_for_return(selection))
      (deps_.cache.has_tombstone(machine) ? with_tombstone : without_tombstone).push_back(machine);
    if (without_tombstone.empty() && with_tombstone.empty()) co_return;
    if (!without_tombstone.empty()) {
      sort_most_urgent_first(without_tombstone);
      if (without_tombstone.size() > max_per_tombstone())
        without_tombstone.resize(max_per_tombstone());
      const bool written = co_await write_tombstones(without_tombstone);
      if (!deps_.is_leading()) co_return;
      if (!written && !defer_tombstones(without_tombstone)) co_return;
      with_tombstone = std::move(without_tombstone);
    }
    if (with_tombstone.size() > max_machines_per_call) with_tombstone.resize(max_machines_per_call);
    if (stop_token.stop_requested() || !co_await send_return_call(std::move(with_tombstone)))
      co_return;
  }
}

Task<void> ScaleIn::write_deferred_tombstones() {
  if (!deps_.contact.in_contact()) co_return;
  const auto machines = tracker_.awaiting_tombstone(max_per_tombstone());
  if (machines.empty() || !co_await write_tombstones(machines)) co_return;
  for (auto& machine : machines) tracker_.note_tombstone_written(machine);
}

void ScaleIn::sort_most_urgent_first(std::vector<std::string>& machines) const {
  constexpr int max_urgency = std::numeric_limits<int>::max() / 2;
  std::map<std::string, int> urgency;
  for (auto& machine : machines) {
    if (tracker_.keeps_cancelled_task(machine)) urgency[machine] = max_urgency;
    for (auto& [task, attempt] : deps_.cache.assignments_on(machine))
      urgency[machine] += task.job->spec.priority >= Priority::high && !task.job->cancelled;
  }
  std::stable_sort(machines.begin(), machines.end(),
                   [&](auto& a, auto& b) { return urgency[a] > urgency[b]; });
}

// During an outage of the key-value store no tombstone can be written, but a cancelled task must
// end nevertheless. A return without a tombstone is safe, because no controller can place tasks
// during the outage. The tombstone is written after the outage; a shard leader that doesn't know of
// the return declares the machine dead and returns it a second time. Reduces `machines` to those
// that keep a cancelled task; returns false if none of them may be returned now.
bool ScaleIn::defer_tombstones(std::vector<std::string>& machines) {
  std::erase_if(machines, [&](auto& machine) { return !tracker_.keeps_cancelled_task(machine); });
  if (deps_.contact.in_contact() || machines.empty()) return false;
  for (auto& machine : machines) tracker_.defer_tombstone(machine);
  return true;
}

Task<bool> ScaleIn::write_tombstones(std::vector<std::string> machines) {
  // Each batch has its own key: overwriting a record would lose the machines that it names.
  const auto key = keys::tombstone(std::to_string(deps_.incarnation) + "-" +
                                   std::to_string(deps_.loop.random64()));
  Transaction transaction;
  transaction.preconditions[keys::shard_table] = deps_.cache.shard_table_version();
  transaction.preconditions[key] = 0;
  transaction.writes.push_back({key, encode_tombstone(machines), 0});
  auto writes = transaction.writes;
  auto reply =
      co_await deps_.store.compare_and_swap(std::move(transaction), RequestPriority::scheduling);
  if (reply.outcome != TransactionOutcome::committed) co_return false;
  deps_.cache.apply_writes(writes, reply.revision);
  co_return true;
}

Task<bool> ScaleIn::send_return_call(std::vector<std::string> machines) {
  for (auto& machine : machines) tracker_.begin_return_call(machine);
  const auto fencing_token = fencing_token_;
  auto reply = co_await deps_.http.request(deps_.settings.cloud, Method::post, "/hosts/return",
                                           encode_return_request(machines), cloud_timeout_s);
  if (fencing_token != fencing_token_) co_return false;
  for (auto& machine : machines) tracker_.end_return_call(machine);
  if (reply.status != 200) co_return false;
  for (auto& machine : machines) {
    const bool declared_dead = tracker_.confirm_return(machine);
    deps_.on_returned(machine, declared_dead);
  }
  spdlog::info("returned {} machine{}", machines.size(), machines.size() == 1 ? "" : "s");
  deps_.changed.notify();
  co_return true;
}

}  // namespace damsonport
