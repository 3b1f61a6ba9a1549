/// Plans spot machines for all work that may use them. Part of the autoscaler. Pure.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "coordination/autoscaling/machine_kind_selector.hpp"
#include "coordination/autoscaling/planned_fleet.hpp"

namespace damsonport::autoscaling {

/// Work that runs on spot machines leaves the on-demand ones, and the images that they hold, to
/// work that needs those: replicas of services then start without preempting anything.
///
/// Lives for one plan; refers to what it is given.
class SpotPlacement {
 public:
  SpotPlacement(const AutoscalerInput& input, const MachineKindSelector& selector,
                PlannedFleet& fleet, size_t& examined)
      : input_(input), selector_(selector), fleet_(fleet), examined_(examined) {}

  /// Requests the machines that are missing; returns the ids of existing ones that are needed.
  std::set<std::string> run();

 private:
  struct Candidate {
    FreeCapacity capacity;
    const MachineState* machine;  // null: it is requested by this plan
  };

  bool is_scarce(const MachineState& machine) const;
  std::vector<Candidate> candidates() const;
  void add_on_demand(std::vector<Candidate>& out) const;
  void add_spot(std::vector<Candidate>& out) const;
  void add_requested(std::vector<Candidate>& out) const;
  Resources smallest_need() const;
  void place(const ResourceDemand& demand, std::vector<Candidate>& candidates);
  uint32_t allocate_on(Candidate& candidate, const ResourceDemand& demand, uint32_t count);

  const AutoscalerInput& input_;
  const MachineKindSelector& selector_;
  PlannedFleet& fleet_;
  size_t& examined_;
  std::set<std::string> needed_;
};

}  // namespace damsonport::autoscaling
