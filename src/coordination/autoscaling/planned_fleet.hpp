/// Capacity that a plan may use: of machines on their way and of those that the plan requests.
/// Part of the autoscaler. Pure.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/autoscaling/autoscaler.hpp"

namespace damsonport::autoscaling {

/// What is left of one machine.
struct FreeCapacity {
  const MachineType* type;
  std::string zone;
  bool spot;
  Resources free;
};

/// Takes capacity for up to `count` tasks of the demand; returns for how many there was some.
uint32_t allocate(FreeCapacity& machine, const ResourceDemand& demand, uint32_t count);

/// A value: a copy of it is a state that can be returned to. Refers to the machine types of the
/// input, which must outlive it.
class PlannedFleet {
 public:
  explicit PlannedFleet(const AutoscalerInput& input);

  /// The plan may request more machines: a share of the fleet at the most.
  bool can_grow() const { return requested_ < max_requested_; }
  /// Requests one more machine; `type` is that of the kind.
  void request(const MachineKind& kind, const MachineType& type);
  /// The capacity of the last machine requested.
  FreeCapacity& newest_machine() { return machines_.back(); }

  /// Takes capacity of all machines in turn; adds the machines examined to `examined`.
  uint32_t allocate_any(const ResourceDemand& demand, uint32_t count, size_t& examined);

  const std::vector<FreeCapacity>& machines() const { return machines_; }
  const std::vector<ScaleOut>& scale_out() const { return scale_out_; }
  /// Machines of this type are requested.
  bool requests_type(const std::string& type) const;

 private:
  std::vector<FreeCapacity> machines_;
  std::vector<ScaleOut> scale_out_;
  int requested_ = 0;
  int max_requested_;
};

}  // namespace damsonport::autoscaling
