#include "coordination/autoscaling/autoscaler.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "coordination/autoscaling/headroom.hpp"
#include "coordination/autoscaling/machine_kind_selector.hpp"
#include "coordination/autoscaling/planned_fleet.hpp"
#include "coordination/autoscaling/spot_placement.hpp"

namespace damsonport::autoscaling {

namespace {

/// Lower bound of the speed at which images are fetched; applies if the catalog states no speed.
constexpr double min_fetch_gb_per_s = 1e-3;

/// Makes one plan. Requests machines for replacements, unschedulable work, spot work and headroom,
/// in this order, and then selects the machines to return: those that none of these needs.
class Planner {
 public:
  explicit Planner(const AutoscalerInput& input)
      : input_(input), selector_(input), fleet_(input), examined_(input.machines.size()) {}

  ScalingPlan run() {
    request_replacements();
    provision_demand();
    needed_spot_machines_ = SpotPlacement(input_, selector_, fleet_, examined_).run();
    const double surplus_gpus = provision_headroom(Pool::accelerators);
    const double surplus_cpus = provision_headroom(Pool::cpus);
    return {fleet_.scale_out(), scale_in(surplus_gpus, surplus_cpus), examined_};
  }

 private:
  void request(const MachineOffer& offer) {
    const auto* type = find_machine_type(input_.types, offer.kind.type);
    if (type && fleet_.can_grow()) fleet_.request(offer.kind, *type);
  }

  void request_replacements() {
    for (const auto& kind : input_.replacements)
      if (const auto* offer = selector_.replacement_for(kind)) request(*offer);
  }

  void provision_demand() {
    for (const auto& demand : input_.demand) {
      if (demand.gang) {
        provision_gang(demand);
      } else {
        provision(demand);
      }
    }
  }

  // Allocates capacity for the tasks of the demand and requests machines for those that don't fit;
  // returns the number of tasks left without capacity.
  uint32_t provision(const ResourceDemand& demand) {
    uint32_t left = demand.count - fleet_.allocate_any(demand, demand.count, examined_);
    while (left > 0 && fleet_.can_grow()) {
      const auto* offer =
          selector_.cheapest_for(demand, MachineKindSelector::Purchase::any, fleet_.scale_out());
      // Work that may use spot machines waits for the pending request of the cheapest kind, which
      // is better than paying for a more expensive machine.
      if (!offer || offer->request_pending) break;
      request(*offer);
      ++examined_;
      const uint32_t taken = allocate(fleet_.newest_machine(), demand, left);
      if (taken == 0) break;
      left -= taken;
    }
    return left;
  }

  // Allocates capacity and requests machines for a whole gang in the first of its zones that has
  // enough for all its tasks. If no zone has, the plan remains unchanged.
  void provision_gang(const ResourceDemand& demand) {
    for (const auto& zone : zones_of(demand)) {
      ResourceDemand in_zone = demand;
      in_zone.zone = zone;
      const PlannedFleet fleet_before = fleet_;
      if (provision(in_zone) == 0) return;
      fleet_ = fleet_before;
    }
  }

  std::vector<std::string> zones_of(const ResourceDemand& gang) const {
    if (!gang.one_zone || !gang.zone.empty()) return {gang.zone};
    std::vector<std::string> zones;
    for (const auto& offer : input_.offers)
      if (std::find(zones.begin(), zones.end(), offer.kind.zone) == zones.end())
        zones.push_back(offer.kind.zone);
    return zones;
  }

  // Requests on-demand machines until the pool has its target headroom. Returns the surplus over
  // the target, in units of the pool.
  double provision_headroom(Pool pool) {
    double headroom = free_on_demand(pool);
    double target = target_headroom(pool);
    if (pool == Pool::accelerators) target += input_.largest_gpus;
    while (headroom < target && fleet_.can_grow()) {
      const auto* offer = selector_.cheapest_of(pool, fleet_.scale_out());
      if (!offer) break;
      headroom += pool_units(pool, capacity_of(*find_machine_type(input_.types, offer->kind.type)));
      request(*offer);
    }
    return headroom - target;
  }

  double free_on_demand(Pool pool) const {
    double free = 0;
    for (const auto& machine : input_.machines)
      if (machine.schedulable && !machine.spot && pool_of(machine.total) == pool)
        free += pool_units(pool, machine.free);
    for (const auto& machine : fleet_.machines())
      if (!machine.spot && pool_of(capacity_of(*machine.type)) == pool)
        free += pool_units(pool, machine.free);
    return free;
  }

  double target_headroom(Pool pool) const {
    const bool accelerators = pool == Pool::accelerators;
    headroom::HeadroomInput input;
    input.in_use = accelerators ? input_.gpu_work.gpus : input_.cpu_work.cpus;
    input.expected = accelerators ? input_.expected_gpus : input_.expected_cpus;
    for (const auto& machine : input_.machines) {
      const double price = hourly_price(input_.types, machine.type, machine.spot);
      input.fleet_price += price;
      if (machine.spot || pool_of(machine.total) != pool) continue;
      const double units = std::max(pool_units(pool, machine.total), 1.0);
      input.unit_price = std::max(input.unit_price, price / units);
    }
    return headroom::target_headroom(input, input_.headroom_share, input_.cheap_headroom_share);
  }

  // Returns how long the machine may stay idle: the time that a replacement needs to boot and to
  // fetch the images in this machine's cache, times `idle_replacements`.
  double idle_timeout_s(const MachineState& machine, const MachineType& type) const {
    const double fetch_s = machine.images_gb / std::max(type.fetch_gb_per_s, min_fetch_gb_per_s);
    return input_.idle_replacements * (type.boot_s + fetch_s);
  }

  bool may_scale_in(const MachineState& machine) const {
    const auto* type = find_machine_type(input_.types, machine.type);
    if (!type || !machine.schedulable || !machine.empty) return false;
    return machine.idle_s >= idle_timeout_s(machine, *type) && !fleet_.requests_type(machine.type);
  }

  // Returns the idle machines to return: spot machines that no work needs, and on-demand machines
  // within the surplus of their pool.
  std::vector<std::string> scale_in(double surplus_gpus, double surplus_cpus) const {
    std::vector<std::string> out;
    for (const auto& machine : input_.machines) {
      if (!may_scale_in(machine)) continue;
      if (machine.spot) {
        if (!needed_spot_machines_.contains(machine.id)) out.push_back(machine.id);
        continue;
      }
      const Pool pool = pool_of(machine.total);
      double& surplus = pool == Pool::accelerators ? surplus_gpus : surplus_cpus;
      const double units = pool_units(pool, machine.total);
      if (surplus < units) continue;
      surplus -= units;
      out.push_back(machine.id);
    }
    return out;
  }

  const AutoscalerInput& input_;
  const MachineKindSelector selector_;
  PlannedFleet fleet_;
  size_t examined_;  // number of machines examined
  std::set<std::string> needed_spot_machines_;
};

}  // namespace

ScalingPlan plan(const AutoscalerInput& input) { return Planner(input).run(); }

}  // namespace damsonport::autoscaling
