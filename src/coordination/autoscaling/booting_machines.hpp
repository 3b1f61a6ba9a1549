/// The machines that the cloud has created and that have sent no heartbeat yet. Pure: the time is
/// passed in.
#pragma once
#include <map>
#include <string>

#include "coordination/autoscaling/machine_type_catalog.hpp"
#include "coordination/autoscaling/scale_out_requests.hpp"

namespace damsonport {

struct BootingMachine {
  MachineKind kind;
  double created_at = 0;  ///< created at this time of the loop's clock
};

/// Owned by the AutoscalerDriver. Kept in the order of the machine ids. Invariant: the time of
/// creation of a machine is that of the first mention.
class BootingMachines {
 public:
  /// The machine was created at this time, unless it is known already. Yields what is known of it.
  const BootingMachine& add(const std::string& machine, const MachineKind& kind, double created_at);
  /// It is up, or gone.
  void remove(const std::string& machine) { machines_.erase(machine); }
  void clear() { machines_.clear(); }
  [[nodiscard]] const std::map<std::string, BootingMachine>& all() const { return machines_; }

  /// Whether the machine has been booting for so long that its capacity is no longer counted on.
  static bool is_late(const BootingMachine& machine, const MachineType& type, double now);
  /// Whether it has been booting for so long that it will not come up. `type`: null where unknown.
  static bool has_failed(const BootingMachine& machine, const MachineType* type, double now);
  /// Seconds after which a machine of this type is late; `type`: null where unknown, then none.
  static double late_after_s(const MachineType* type);

 private:
  std::map<std::string, BootingMachine> machines_;
};

}  // namespace damsonport
