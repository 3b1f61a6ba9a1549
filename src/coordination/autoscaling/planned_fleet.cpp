#include "coordination/autoscaling/planned_fleet.hpp"

#include <algorithm>

#include "coordination/autoscaling/machine_kind_selector.hpp"

namespace damsonport::autoscaling {

namespace {

/// Limit on the machines that one plan requests, as a share of the fleet. The limit is never below
/// `min_growth`, the machines of two full requests, so that a fleet that starts empty grows to its
/// size within a few plans.
constexpr double max_growth_share = 0.25;
constexpr int min_growth = 100;

int max_growth(size_t machines) {
  const auto share = static_cast<int>(max_growth_share * static_cast<double>(machines));
  return std::max(min_growth, share);
}

}  // namespace

uint32_t allocate(FreeCapacity& machine, const ResourceDemand& demand, uint32_t count) {
  if (!matches_constraints(demand, machine.type->name, machine.zone, machine.spot)) return 0;
  const uint32_t max_count = demand.distinct_machines ? std::min(count, 1U) : count;
  const uint32_t taken = std::min(max_count, scheduling::count_fitting(demand.need, machine.free));
  machine.free -= demand.need * taken;
  return taken;
}

PlannedFleet::PlannedFleet(const AutoscalerInput& input)
    : max_requested_(max_growth(input.machines.size())) {
  for (const auto& machine : input.machines) {
    if (!machine.booting) continue;
    if (const auto* type = find_machine_type(input.types, machine.type))
      machines_.push_back({type, machine.zone, machine.spot, machine.total});
  }
}

void PlannedFleet::request(const MachineKind& kind, const MachineType& type) {
  ++requested_;
  machines_.push_back({&type, kind.zone, kind.spot, capacity_of(type)});
  const auto existing = std::find_if(scale_out_.begin(), scale_out_.end(),
                                     [&](const ScaleOut& other) { return other.kind == kind; });
  if (existing != scale_out_.end()) {
    ++existing->count;
  } else {
    scale_out_.push_back({kind, 1});
  }
}

uint32_t PlannedFleet::allocate_any(const ResourceDemand& demand, uint32_t count,
                                    size_t& examined) {
  uint32_t left = count;
  for (auto& machine : machines_) {
    if (left == 0) break;
    ++examined;
    left -= allocate(machine, demand, left);
  }
  return count - left;
}

bool PlannedFleet::requests_type(const std::string& type) const {
  return std::any_of(scale_out_.begin(), scale_out_.end(),
                     [&](const ScaleOut& request) { return request.kind.type == type; });
}

}  // namespace damsonport::autoscaling
