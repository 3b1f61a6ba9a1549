/// Choice among the kinds of machines that the cloud offers. Part of the autoscaler. Pure.
#pragma once
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/autoscaling/autoscaler.hpp"

namespace damsonport::autoscaling {

/// Pool of machines: headroom is kept for each apart.
enum class Pool : uint8_t { accelerators, cpus };

/// The pool that machines or tasks with these resources belong to.
Pool pool_of(const Resources& resources);
/// The resource that the pool is measured in.
double pool_units(Pool pool, const Resources& resources);

/// The job's constraints allow its tasks on machines of this kind.
bool matches_constraints(const ResourceDemand& demand, const std::string& type,
                         const std::string& zone, bool spot);

/// Refers to the input, which must outlive it. `planned` is the scale-out planned so far.
class MachineKindSelector {
 public:
  enum class Purchase : uint8_t { any, spot_only };

  explicit MachineKindSelector(const AutoscalerInput& input);

  /// The same kind if it can be had, else another kind of the type that is no spot machine unless
  /// the wanted one is. Null: none can be had.
  const MachineOffer* replacement_for(const MachineKind& wanted) const;
  /// The kind with the lowest price a task. One with a pending request is chosen only for work that
  /// may use spot machines: that work rather waits than goes to a dearer kind. Null: none.
  const MachineOffer* cheapest_for(const ResourceDemand& demand, Purchase purchase,
                                   const std::vector<ScaleOut>& planned) const;
  /// The on-demand kind with the lowest price a unit of the pool. Null: none can be had.
  const MachineOffer* cheapest_of(Pool pool, const std::vector<ScaleOut>& planned) const;

 private:
  struct TypeInZone {
    std::string zone, type;
    auto operator<=>(const TypeInZone&) const = default;
  };
  double spread_factor(const MachineKind& kind, const std::vector<ScaleOut>& planned) const;

  const AutoscalerInput& input_;
  std::map<TypeInZone, int> machine_counts_;  // schedulable or booting
};

}  // namespace damsonport::autoscaling
