/// Selects the machine kind to request among those that the cloud offers. Part of the autoscaler.
/// Does no I/O.
#pragma once
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/autoscaling/autoscaler.hpp"

namespace damsonport::autoscaling {

/// The pools of machines, each of which has its own headroom: machines with accelerators, and
/// machines with CPUs only.
enum class Pool : uint8_t { accelerators, cpus };

/// Returns the pool of a machine or task with these resources.
Pool pool_of(const Resources& resources);
/// Returns the amount of the resource by which the pool is measured: accelerators or CPUs.
double pool_units(Pool pool, const Resources& resources);

/// Whether the demand's constraints on type, zone and spot allow its tasks on machines of this
/// kind.
bool matches_constraints(const ResourceDemand& demand, const std::string& type,
                         const std::string& zone, bool spot);

/// Selects machine kinds by price and availability. Holds a reference to the input, which must
/// outlive this object, and returns pointers to offers of the input. The parameter `planned` is the
/// scale-out planned so far.
class MachineKindSelector {
 public:
  /// The purchase options to choose from: on-demand and spot machines, or spot machines only.
  enum class Purchase : uint8_t { any, spot_only };

  explicit MachineKindSelector(const AutoscalerInput& input);

  /// Returns the offer to replace a machine of the kind `wanted`: the same kind if available,
  /// otherwise the first other available kind of the same type. A spot kind replaces only a spot
  /// machine. A kind is available if it is neither refused nor has a pending request. Null if none
  /// is available.
  const MachineOffer* replacement_for(const MachineKind& wanted) const;
  /// Returns the offer with the lowest price per task, or null if no kind is suitable. A kind with
  /// a pending request is chosen only for work that may use spot machines: such work waits for the
  /// answer instead of using a more expensive kind.
  const MachineOffer* cheapest_for(const ResourceDemand& demand, Purchase purchase,
                                   const std::vector<ScaleOut>& planned) const;
  /// Returns the on-demand offer with the lowest price per unit of the pool, or null if none is
  /// available.
  const MachineOffer* cheapest_of(Pool pool, const std::vector<ScaleOut>& planned) const;

 private:
  struct TypeInZone {
    std::string zone, type;
    auto operator<=>(const TypeInZone&) const = default;
  };
  // Factor on the price of a kind; grows with the number of machines of its type in its zone.
  double spread_factor(const MachineKind& kind, const std::vector<ScaleOut>& planned) const;

  const AutoscalerInput& input_;
  std::map<TypeInZone, int> machine_counts_;  // schedulable or booting machines
};

}  // namespace damsonport::autoscaling
