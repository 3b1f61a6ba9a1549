/// The autoscaler: which machines to request from the cloud and which idle ones to return. Pure: it
/// works on a snapshot of the fleet and the demand, and the shard leader carries out its plan.
///
/// Units: CPUs and accelerators (`gpus`) as counts, which may be fractions for CPUs; memory and
/// images in GB; times in seconds; prices an hour in the currency of the catalogue.
#pragma once
#include <string>
#include <vector>

#include "coordination/autoscaling/machine_types.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "protocol/messages.hpp"

namespace damsonport {

/// Resources that each task of the job takes on its machine.
inline scheduling::Resources resources_per_task(const JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}

}  // namespace damsonport

namespace damsonport::autoscaling {

using scheduling::Resources;

/// One machine of the fleet, running or on its way.
struct MachineState {
  std::string id, type, zone;
  bool spot = false;
  bool schedulable = false;  ///< Takes new tasks.
  bool booting = false;      ///< Expected to take tasks soon.
  bool empty = false;        ///< Neither runs tasks nor has any assigned.
  double idle_s = 0;         ///< Seconds since it became empty.
  double images_gb = 0;      ///< Size of the images in its cache.
  Resources total, free;
  /// Held by tasks that may use spot machines and save checkpoints: urgent work preempts them.
  Resources preemptible;
  bool has_on_demand_work = false;  ///< Runs tasks that may not use spot machines.
};

/// Tasks of one job that need capacity.
struct ResourceDemand {
  Resources need;                  ///< Of each task.
  uint32_t count = 0;              ///< Tasks.
  std::vector<std::string> types;  ///< Machine types allowed; empty: any.
  std::string zone;                ///< Empty: any.
  bool spot = false;               ///< May use spot machines.
  bool distinct_machines = false;  ///< Of a gang: at most one task a machine.
  bool gang = false;               ///< Capacity for all tasks or for none.
  bool one_zone = false;           ///< All tasks in the same zone.
};

/// A kind of machine that the cloud offers, with the recent answers for it.
struct MachineOffer {
  MachineKind kind;
  bool refused = false;  ///< Refused lately: not requested now.
  /// Refused within a longer time: its machines are kept for work that can't run elsewhere.
  bool scarce = false;
  bool request_pending = false;  ///< A request for it has not been answered yet.
};

/// Snapshot that a plan is made from.
struct AutoscalerInput {
  std::vector<MachineType> types;
  std::vector<MachineOffer> offers;
  std::vector<MachineState> machines;
  std::vector<ResourceDemand> demand;  ///< Unschedulable work.
  /// All unfinished work that may use spot machines, whether it runs already or not.
  std::vector<ResourceDemand> spot_work;
  std::vector<MachineKind> replacements;  ///< Of machines to be replaced before they are drained.
  /// Target headroom as a share of the resources in use.
  double headroom_share = 0.25;
  /// Headroom that costs more than this share of the fleet's price is kept only as far as arrivals
  /// are expected.
  double cheap_headroom_share = 0.05;
  /// An idle machine is returned after this many times the seconds that a replacement would take to
  /// boot and to fetch the images.
  double idle_replacements = 1;
  Resources gpu_work;        ///< Needed by unfinished tasks that use accelerators.
  Resources cpu_work;        ///< Needed by unfinished tasks that use none.
  double largest_gpus = 0;   ///< Accelerators of the largest task that may not use spot machines.
  double expected_gpus = 0;  ///< Accelerators likely to be asked for while a machine boots.
  double expected_cpus =
      0;  ///< CPUs likely to be asked for meanwhile by work without accelerators.
};

/// Machines of one kind to be requested.
struct ScaleOut {
  MachineKind kind;
  int count = 0;
};

/// What is to be changed in the fleet.
struct ScalingPlan {
  std::vector<ScaleOut> scale_out;    ///< At most one entry a kind.
  std::vector<std::string> scale_in;  ///< Ids of machines to be returned.
  size_t examined = 0;  ///< Machines examined, existing or planned: the work that the plan took.
};

/// Deterministic: the same input gives the same plan.
[[nodiscard]] ScalingPlan plan(const AutoscalerInput& input);

}  // namespace damsonport::autoscaling
