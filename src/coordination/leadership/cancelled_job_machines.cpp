#include "coordination/leadership/cancelled_job_machines.hpp"

namespace damsonport {

bool CancelledJobMachines::note(const std::string& controller,
                                const PeerHeartbeat::JobMachines& stated) {
  const bool is_first = !any_statement();
  const auto before = listed();
  auto& listed = listed_by_controller_[controller];
  const std::set<std::string> now_listed(stated.machines.begin(), stated.machines.end());
  if (stated.complete) {
    for (auto& machine : listed)
      if (!now_listed.contains(machine)) released_.insert(machine);
    listed = now_listed;
  } else {
    listed.insert(now_listed.begin(), now_listed.end());
  }
  return is_first || this->listed() != before;
}

bool CancelledJobMachines::release_all() {
  const auto machines = listed();
  released_.insert(machines.begin(), machines.end());
  return !machines.empty();
}

std::vector<std::string> CancelledJobMachines::listed() const {
  std::set<std::string> machines;
  for (auto& [controller, listed] : listed_by_controller_)
    for (auto& machine : listed)
      if (!is_released(machine)) machines.insert(machine);
  return {machines.begin(), machines.end()};
}

}  // namespace damsonport
