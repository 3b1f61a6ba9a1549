/// The capacity that a scaling plan may allocate: booting machines and the machines that the plan
/// requests. Part of the autoscaler. Does no I/O.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/autoscaling/autoscaler.hpp"

namespace damsonport::autoscaling {

/// The capacity of one machine that is not allocated yet.
struct FreeCapacity {
  const MachineType* type;
  std::string zone;
  bool spot;
  Resources free;
};

/// Allocates capacity on the machine for up to `count` tasks of the demand; returns the number of
/// tasks that fit.
uint32_t allocate(FreeCapacity& machine, const ResourceDemand& demand, uint32_t count);

/// The machines of a plan under construction. A copy serves as a snapshot that can be restored.
/// Holds pointers to the machine types of the input, which must outlive this object.
class PlannedFleet {
 public:
  explicit PlannedFleet(const AutoscalerInput& input);

  /// Whether the plan may request another machine. The number of requested machines is limited to a
  /// share of the fleet, or to a minimum if the fleet is small.
  bool can_grow() const { return requested_ < max_requested_; }
  /// Requests one more machine of this kind; `type` is the kind's machine type.
  void request(const MachineKind& kind, const MachineType& type);
  /// Returns the capacity of the machine that was requested last.
  FreeCapacity& newest_machine() { return machines_.back(); }

  /// Allocates capacity for up to `count` tasks on all machines in turn; returns the number of
  /// tasks that fit. Adds the number of machines examined to `examined`.
  uint32_t allocate_any(const ResourceDemand& demand, uint32_t count, size_t& examined);

  /// All machines of the plan, booting or requested, with their free capacity.
  const std::vector<FreeCapacity>& machines() const { return machines_; }
  /// The requests of the plan so far, one entry per machine kind.
  const std::vector<ScaleOut>& scale_out() const { return scale_out_; }
  /// Whether the plan requests machines of this type.
  bool requests_type(const std::string& type) const;

 private:
  std::vector<FreeCapacity> machines_;
  std::vector<ScaleOut> scale_out_;
  int requested_ = 0;
  int max_requested_;
};

}  // namespace damsonport::autoscaling
