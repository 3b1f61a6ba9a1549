#include "coordination/autoscaling/spot_placement.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace damsonport::autoscaling {

std::set<std::string> SpotPlacement::run() {
  if (input_.spot_work.empty()) return {};
  auto candidates_left = candidates();
  const Resources smallest = smallest_need();
  for (const auto& demand : input_.spot_work) {
    place(demand, candidates_left);
    // Full machines are removed, so that they are not examined again for each further job.
    std::erase_if(candidates_left,
                  [&](const Candidate& c) { return !smallest.fits(c.capacity.free); });
  }
  return std::move(needed_);
}

// If the cloud has no further machines of this kind, the capacity of the machine is reserved for
// work that can't run on spot machines.
bool SpotPlacement::is_scarce(const MachineState& machine) const {
  return std::any_of(input_.offers.begin(), input_.offers.end(), [&](const MachineOffer& offer) {
    return offer.scarce && offer.kind.type == machine.type && offer.kind.zone == machine.zone &&
           offer.kind.spot == machine.spot;
  });
}

// Returns the candidates in order of preference: on-demand machines first, because on-demand work
// keeps them in the fleet anyway and their free capacity costs nothing; then spot machines in use,
// empty spot machines (which can be returned if unused), and machines requested by this plan.
std::vector<SpotPlacement::Candidate> SpotPlacement::candidates() const {
  std::vector<Candidate> out;
  add_on_demand(out);
  add_spot(out);
  add_requested(out);
  return out;
}

void SpotPlacement::add_on_demand(std::vector<Candidate>& out) const {
  for (const auto& machine : input_.machines) {
    const auto* type = find_machine_type(input_.types, machine.type);
    const bool usable = type && !machine.spot && machine.schedulable && machine.has_on_demand_work;
    if (!usable || is_scarce(machine)) continue;
    Resources capacity = machine.free;
    capacity += machine.preemptible;
    out.push_back({{type, machine.zone, false, capacity}, &machine});
  }
}

void SpotPlacement::add_spot(std::vector<Candidate>& out) const {
  for (const bool empty : {false, true}) {
    for (const auto& machine : input_.machines) {
      const auto* type = find_machine_type(input_.types, machine.type);
      if (!type || !machine.spot || machine.empty != empty) continue;
      if (!machine.schedulable && !machine.booting) continue;
      out.push_back({{type, machine.zone, true, capacity_of(*type)}, &machine});
    }
  }
}

void SpotPlacement::add_requested(std::vector<Candidate>& out) const {
  for (const auto& request : fleet_.scale_out()) {
    if (!request.kind.spot) continue;
    const auto* type = find_machine_type(input_.types, request.kind.type);
    const Candidate candidate{{type, request.kind.zone, true, capacity_of(*type)}, nullptr};
    out.insert(out.end(), static_cast<size_t>(request.count), candidate);
  }
}

// Returns for each resource the smallest amount that any task needs. A machine with less free
// capacity is full.
Resources SpotPlacement::smallest_need() const {
  constexpr double infinite = std::numeric_limits<double>::infinity();
  Resources smallest{infinite, infinite, infinite};
  for (const auto& demand : input_.spot_work) {
    smallest.cpus = std::min(smallest.cpus, demand.need.cpus);
    smallest.gpus = std::min(smallest.gpus, demand.need.gpus);
    smallest.memory_gb = std::min(smallest.memory_gb, demand.need.memory_gb);
  }
  return smallest;
}

void SpotPlacement::place(const ResourceDemand& demand, std::vector<Candidate>& candidates) {
  uint32_t left = demand.count;
  for (auto& candidate : candidates) {
    if (left == 0) break;
    left -= allocate_on(candidate, demand, left);
  }
  while (left > 0 && fleet_.can_grow()) {
    const auto* offer = selector_.cheapest_for(demand, MachineKindSelector::Purchase::spot_only,
                                               fleet_.scale_out());
    if (!offer || offer->request_pending) break;
    const auto& type = *find_machine_type(input_.types, offer->kind.type);
    fleet_.request(offer->kind, type);
    candidates.push_back({{&type, offer->kind.zone, true, capacity_of(type)}, nullptr});
    left -= allocate_on(candidates.back(), demand, left);
  }
}

uint32_t SpotPlacement::allocate_on(Candidate& candidate, const ResourceDemand& demand,
                                    uint32_t count) {
  ++examined_;
  const uint32_t taken = allocate(candidate.capacity, demand, count);
  if (taken > 0 && candidate.machine) needed_.insert(candidate.machine->id);
  return taken;
}

}  // namespace damsonport::autoscaling
