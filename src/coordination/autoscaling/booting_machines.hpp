/// The machines that the cloud has created and that have not sent a heartbeat yet. Does no I/O and
/// reads no clock: the caller passes in the time.
#pragma once
#include <map>
#include <string>

#include "coordination/autoscaling/machine_type_catalog.hpp"
#include "coordination/autoscaling/scale_out_requests.hpp"

namespace damsonport {

/// A machine that the cloud has created and that is not up yet.
struct BootingMachine {
  MachineKind kind;
  double created_at = 0;  ///< time of creation by the loop's clock, in seconds
};

/// The set of booting machines, ordered by machine id. The AutoscalerDriver owns it. Invariant: the
/// creation time of a machine is the one given by the first call of add() for the machine.
class BootingMachines {
 public:
  /// Adds the machine with this creation time, unless the machine is in the set already. Returns
  /// its entry, which is valid until remove() or clear().
  const BootingMachine& add(const std::string& machine, const MachineKind& kind, double created_at);
  /// Removes a machine that is up or no longer exists.
  void remove(const std::string& machine) { machines_.erase(machine); }
  void clear() { machines_.clear(); }
  [[nodiscard]] const std::map<std::string, BootingMachine>& all() const { return machines_; }

  /// Whether the machine has been booting for so long that plans no longer include its capacity.
  static bool is_late(const BootingMachine& machine, const MachineType& type, double now);
  /// Whether the machine has been booting for so long that it is taken to have failed. `type`: null
  /// if the catalog doesn't have the machine's type; a default boot time applies then.
  static bool has_failed(const BootingMachine& machine, const MachineType* type, double now);
  /// Returns the number of seconds after which a machine of this type is late; 0 if `type` is null.
  static double late_after_s(const MachineType* type);

 private:
  std::map<std::string, BootingMachine> machines_;
};

}  // namespace damsonport
