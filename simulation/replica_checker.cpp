#include "simulation/replica_checker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace damsonport::simulation {

namespace {
constexpr double still_present = std::numeric_limits<double>::infinity();
// Covers clocks that run fast and the delay of messages between a machine and its controller.
constexpr double tolerance_s = 0.05;
}  // namespace

bool ReplicaChecker::is_whole(const Attempt& attempt, uint32_t parts) {
  return attempt.size() == parts && std::all_of(attempt.begin(), attempt.end(), [](auto& entry) {
           return entry.second.present_until == still_present;
         });
}

void ReplicaChecker::check_start(const Replica& replica, const JobSpec& spec, const TaskId& task,
                                 uint64_t attempt, const std::string& machine) {
  for (auto& [number, other] : replica.attempts)
    for (auto& [index, part] : other) {
      if (index == task.index || part.present_until != still_present) continue;
      if (number != attempt)
        on_violation_("replica_mixed",
                      fmt::format("{} starts under attempt {} beside {}/{} under attempt {}",
                                  task.text(), attempt, task.job, index, number));
      if (spec.distinct_machines && part.machine == machine)
        on_violation_("replica_machines", task.text() + " starts on the machine of another part");
    }
  if (replica.claimed_attempt >= attempt)
    on_violation_(
        "replica_attempt",
        fmt::format("{} starts under attempt {}, which was ready before", task.text(), attempt));
}

void ReplicaChecker::on_part_started(const JobSpec& spec, const TaskId& task, uint64_t attempt,
                                     const std::string& machine) {
  if (!spec.replicated()) return;
  Replica& replica = replicas_[{spec.id, task.index / spec.parts}];
  if (!skips_rules_) check_start(replica, spec, task, attempt, machine);
  replica.attempts[attempt][task.index] = {machine, still_present};
  const bool whole = is_whole(replica.attempts[attempt], spec.parts);
  measure(replica, spec, whole);
  if (!whole || replica.broken_since < 0) return;
  Repairs& repairs = repairs_[spec.id];
  const double seconds = world_.now() - replica.broken_since;
  ++repairs.count;
  repairs.longest_s = std::max(repairs.longest_s, seconds);
  figures_.whole_again_s.push_back(seconds);
  replica.broken_since = -1;
}

void ReplicaChecker::on_part_left(const JobSpec& spec, const TaskId& task,
                                  const std::string& machine) {
  if (!spec.replicated()) return;
  Replica& replica = replicas_[{spec.id, task.index / spec.parts}];
  for (auto& [number, attempt] : replica.attempts) {
    auto it = attempt.find(task.index);
    if (it == attempt.end() || it->second.machine != machine ||
        it->second.present_until != still_present)
      continue;
    if (is_whole(attempt, spec.parts)) replica.broken_since = world_.now();
    it->second.present_until = world_.now();
  }
  measure(replica, spec, false);
}

void ReplicaChecker::measure(Replica& replica, const JobSpec& spec, bool whole) {
  const double now = world_.now();
  std::set<uint32_t> present;
  for (auto& [number, attempt] : replica.attempts)
    for (auto& [index, part] : attempt)
      if (part.present_until == still_present) present.insert(index);
  const bool was_complete = std::exchange(replica.complete, present.size() == spec.parts);
  if (replica.broken_since < 0) return;
  if (replica.complete && !was_complete)
    figures_.complete_again_s.push_back(now - replica.broken_since);
  const bool partial = !whole && !present.empty();
  if (replica.partial_since >= 0) figures_.partial_s += now - replica.partial_since;
  replica.partial_since = partial ? now : -1;
}

ReplicaChecker::Figures ReplicaChecker::figures() const {
  Figures out = figures_;
  for (auto& [key, replica] : replicas_) {
    out.not_whole += replica.broken_since >= 0;
    if (replica.partial_since >= 0) out.partial_s += world_.now() - replica.partial_since;
  }
  return out;
}

void ReplicaChecker::on_ready_claim(const std::string& controller, const JobSpec& spec,
                                    uint32_t number, uint64_t attempt, double age_s) {
  ++claims_;
  Replica& replica = replicas_[{spec.id, number}];
  replica.claimed_attempt = std::max(replica.claimed_attempt, attempt);
  const double as_of = world_.now() - age_s - tolerance_s;
  const Attempt& parts = replica.attempts[attempt];
  const bool claim_holds =
      parts.size() == spec.parts && std::all_of(parts.begin(), parts.end(), [&](auto& entry) {
        return entry.second.present_until >= as_of;
      });
  if (!claim_holds)
    on_violation_("replica_ready",
                  fmt::format("{} says that {}:{} is ready under attempt {}, as of {} s",
                              controller, spec.id, number, attempt, age_s));
}

uint32_t ReplicaChecker::whole(const JobSpec& spec) const {
  uint32_t count = 0;
  for (auto it = replicas_.lower_bound({spec.id, 0});
       it != replicas_.end() && it->first.first == spec.id; ++it) {
    auto& attempts = it->second.attempts;
    count += std::any_of(attempts.begin(), attempts.end(),
                         [&](auto& entry) { return is_whole(entry.second, spec.parts); });
  }
  return count;
}

int ReplicaChecker::repairs(const std::string& job) const {
  auto it = repairs_.find(job);
  return it == repairs_.end() ? 0 : it->second.count;
}

double ReplicaChecker::longest_repair_s(const std::string& job) const {
  auto it = repairs_.find(job);
  return it == repairs_.end() ? 0 : it->second.longest_s;
}

}  // namespace damsonport::simulation
