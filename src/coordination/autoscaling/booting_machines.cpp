#include "coordination/autoscaling/booting_machines.hpp"

namespace damsonport {

namespace {
// The boot time after which a machine is late or has failed, as a multiple of its type's boot time.
constexpr double late_boot_factor = 1.6;
constexpr double failed_boot_factor = 4.0;
// Boot time assumed for a type that the catalog doesn't have.
constexpr double default_boot_s = 60;
}  // namespace

const BootingMachine& BootingMachines::add(const std::string& machine, const MachineKind& kind,
                                           double created_at) {
  return machines_.try_emplace(machine, BootingMachine{kind, created_at}).first->second;
}

bool BootingMachines::is_late(const BootingMachine& machine, const MachineType& type, double now) {
  return now - machine.created_at > type.boot_s * late_boot_factor;
}

bool BootingMachines::has_failed(const BootingMachine& machine, const MachineType* type,
                                 double now) {
  const double boot_s = type ? type->boot_s : default_boot_s;
  return now - machine.created_at > boot_s * failed_boot_factor;
}

double BootingMachines::late_after_s(const MachineType* type) {
  return type ? late_boot_factor * type->boot_s : 0;
}

}  // namespace damsonport
