#include "coordination/leadership/cancelled_job_machines.hpp"

#include <utility>

namespace damsonport {

namespace {
// Source of what this controller's own records list.
constexpr const char* own_records = "";

std::set<std::string> machines_in(const PeerHeartbeat::JobMachines& stated) {
  return {stated.machines.begin(), stated.machines.end()};
}
}  // namespace

bool CancelledJobMachines::note(const std::string& source, uint64_t sent_ms,
                                const PeerHeartbeat::JobMachines& stated) {
  auto [it, is_first] = statements_.try_emplace(source);
  Statement& statement = it->second;
  if (!is_first && sent_ms < statement.sent_ms) return false;
  statement.sent_ms = sent_ms;
  const bool is_first_of_all = is_first && statements_.size() == 1;
  const auto before = listed();
  auto machines = machines_in(stated);
  if (stated.complete) {
    for (auto& machine : statement.machines)
      if (!machines.contains(machine)) released_.insert(machine);
    statement.machines = std::move(machines);
  } else {
    statement.machines.merge(machines);
  }
  return is_first_of_all || listed() != before;
}

bool CancelledJobMachines::note_own_records(const PeerHeartbeat::JobMachines& listed) {
  const auto before = this->listed();
  const bool is_first_of_all = !any_statement();
  note(own_records, 0, listed);
  if (listed.complete) {
    const auto machines = machines_in(listed);
    for (auto& machine : before)
      if (!machines.contains(machine)) released_.insert(machine);
  }
  return is_first_of_all || this->listed() != before;
}

bool CancelledJobMachines::release_all() {
  const auto machines = listed();
  released_.insert(machines.begin(), machines.end());
  return !machines.empty();
}

std::vector<std::string> CancelledJobMachines::listed() const {
  std::set<std::string> machines;
  for (auto& [source, statement] : statements_)
    for (auto& machine : statement.machines)
      if (!is_released(machine)) machines.insert(machine);
  return {machines.begin(), machines.end()};
}

}  // namespace damsonport
