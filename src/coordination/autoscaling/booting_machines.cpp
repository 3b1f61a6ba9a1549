#include "coordination/autoscaling/booting_machines.hpp"

namespace damsonport {

namespace {
// Multiples of the type's boot time.
constexpr double late_boot = 1.6;
constexpr double failed_boot = 4.0;
// Assumed for a type that the catalog doesn't have.
constexpr double unknown_boot_s = 60;
}  // namespace

const BootingMachine& BootingMachines::add(const std::string& machine, const MachineKind& kind,
                                           double since) {
  return machines_.try_emplace(machine, BootingMachine{kind, since}).first->second;
}

bool BootingMachines::is_late(const BootingMachine& machine, const MachineType& type, double now) {
  return now - machine.since > type.boot_s * late_boot;
}

bool BootingMachines::has_failed(const BootingMachine& machine, const MachineType* type,
                                 double now) {
  const double boot_s = type ? type->boot_s : unknown_boot_s;
  return now - machine.since > boot_s * failed_boot;
}

double BootingMachines::late_after_s(const MachineType* type) {
  return type ? late_boot * type->boot_s : 0;
}

}  // namespace damsonport
