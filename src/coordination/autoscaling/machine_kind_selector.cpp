#include "coordination/autoscaling/machine_kind_selector.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace damsonport::autoscaling {

namespace {

/// Surcharge on the cost of a kind for each machine of its type in its zone, as a share of the
/// cost: among kinds of equal price the zone with fewer machines is chosen, which spreads the fleet
/// over the zones.
constexpr double spread_penalty_per_machine = 1e-3;
/// Limit on the tasks per machine, for demands whose tasks need no resources.
constexpr double max_tasks_per_machine = 1e6;
/// Tolerance for rounding errors when the capacity of a machine is divided by the need of a task.
constexpr double rounding_tolerance = 1e-6;

double tasks_per_machine(const Resources& need, const Resources& capacity) {
  double count = max_tasks_per_machine;
  if (need.cpus > 0) count = std::min(count, capacity.cpus / need.cpus);
  if (need.gpus > 0) count = std::min(count, capacity.gpus / need.gpus);
  if (need.memory_gb > 0) count = std::min(count, capacity.memory_gb / need.memory_gb);
  return std::max(1.0, std::floor(count + rounding_tolerance));
}

}  // namespace

Pool pool_of(const Resources& resources) {
  return resources.gpus > 0 ? Pool::accelerators : Pool::cpus;
}

double pool_units(Pool pool, const Resources& resources) {
  return pool == Pool::accelerators ? resources.gpus : resources.cpus;
}

bool matches_constraints(const ResourceDemand& demand, const std::string& type,
                         const std::string& zone, bool spot) {
  if (spot && !demand.spot) return false;
  if (!demand.zone.empty() && demand.zone != zone) return false;
  return demand.types.empty() ||
         std::find(demand.types.begin(), demand.types.end(), type) != demand.types.end();
}

MachineKindSelector::MachineKindSelector(const AutoscalerInput& input) : input_(input) {
  for (const auto& machine : input.machines)
    if (machine.schedulable || machine.booting) ++machine_counts_[{machine.zone, machine.type}];
}

const MachineOffer* MachineKindSelector::replacement_for(const MachineKind& wanted) const {
  const MachineOffer* other = nullptr;
  for (const auto& offer : input_.offers) {
    if (offer.refused || offer.request_pending || offer.kind.type != wanted.type) continue;
    if (offer.kind.spot && !wanted.spot) continue;
    if (offer.kind == wanted) return &offer;
    if (!other) other = &offer;
  }
  return other;
}

const MachineOffer* MachineKindSelector::cheapest_for(const ResourceDemand& demand,
                                                      Purchase purchase,
                                                      const std::vector<ScaleOut>& planned) const {
  const MachineOffer* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& offer : input_.offers) {
    const auto& kind = offer.kind;
    if (offer.refused || (offer.request_pending && !demand.spot)) continue;
    if (purchase == Purchase::spot_only && !kind.spot) continue;
    const auto* type = find_machine_type(input_.types, kind.type);
    if (!type || !matches_constraints(demand, kind.type, kind.zone, kind.spot)) continue;
    const Resources capacity = capacity_of(*type);
    if (!demand.need.fits(capacity)) continue;
    const double cost = hourly_price(*type, kind.spot) / tasks_per_machine(demand.need, capacity) *
                        spread_factor(kind, planned);
    if (cost < best_cost) {
      best_cost = cost;
      best = &offer;
    }
  }
  return best;
}

const MachineOffer* MachineKindSelector::cheapest_of(Pool pool,
                                                     const std::vector<ScaleOut>& planned) const {
  const MachineOffer* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& offer : input_.offers) {
    if (offer.refused || offer.request_pending || offer.kind.spot) continue;
    const auto* type = find_machine_type(input_.types, offer.kind.type);
    if (!type || pool_of(capacity_of(*type)) != pool) continue;
    const double cost =
        type->price / pool_units(pool, capacity_of(*type)) * spread_factor(offer.kind, planned);
    if (cost < best_cost) {
      best_cost = cost;
      best = &offer;
    }
  }
  return best;
}

double MachineKindSelector::spread_factor(const MachineKind& kind,
                                          const std::vector<ScaleOut>& planned) const {
  const auto it = machine_counts_.find({kind.zone, kind.type});
  int machines = it == machine_counts_.end() ? 0 : it->second;
  for (const auto& request : planned)
    if (request.kind.zone == kind.zone && request.kind.type == kind.type) machines += request.count;
  return 1 + spread_penalty_per_machine * machines;
}

}  // namespace damsonport::autoscaling
