/// Plans the spot machines for all work that may use them. Part of the autoscaler. Does no I/O.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "coordination/autoscaling/machine_kind_selector.hpp"
#include "coordination/autoscaling/planned_fleet.hpp"

namespace damsonport::autoscaling {

/// Places work that may use spot machines and requests the spot machines that are missing. This
/// leaves the on-demand machines and their cached images to work that depends on them: replicas of
/// services then start without preempting other tasks.
///
/// One object serves one plan. All arguments of the constructor must outlive it; the requests go to
/// `fleet`, and the number of candidates examined is added to `examined`.
class SpotPlacement {
 public:
  SpotPlacement(const AutoscalerInput& input, const MachineKindSelector& selector,
                PlannedFleet& fleet, size_t& examined)
      : input_(input), selector_(selector), fleet_(fleet), examined_(examined) {}

  /// Places all spot work and requests the missing machines. Returns the ids of the existing
  /// machines that the placement uses. To be called once.
  std::set<std::string> run();

 private:
  // A machine on which spot work may be placed.
  struct Candidate {
    FreeCapacity capacity;
    const MachineState* machine;  // null for a machine requested by this plan
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
