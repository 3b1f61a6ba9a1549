/// The autoscaler: plans which machines to request from the cloud and which idle machines to
/// return. It is pure: it works on a snapshot of the fleet and the demand, and the AutoscalerDriver
/// executes the plan.
///
/// Units: numbers of CPUs and accelerators (`gpus`), fractional for CPUs; memory and images in GB;
/// times in seconds; prices per hour in the currency of the catalog.
#pragma once
#include <string>
#include <vector>

#include "coordination/autoscaling/machine_types.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "protocol/messages.hpp"

namespace damsonport {

/// Returns the resources that each task of the job occupies on its machine.
inline scheduling::Resources resources_per_task(const JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}

}  // namespace damsonport

namespace damsonport::autoscaling {

using scheduling::Resources;

/// One machine of the fleet, running or booting.
struct MachineState {
  std::string id, type, zone;
  bool spot = false;
  bool schedulable = false;  ///< accepts new tasks
  bool booting = false;      ///< expected to accept tasks soon
  bool empty = false;        ///< no tasks running or assigned
  double idle_s = 0;         ///< seconds since the machine became empty
  double images_gb = 0;      ///< size of the images in the machine's cache
  Resources total, free;
  /// Resources of tasks that may use spot machines and save checkpoints. Urgent work preempts such
  /// tasks.
  Resources preemptible;
  bool has_on_demand_work = false;  ///< tasks present that may not use spot machines
};

/// Tasks of one job that need capacity, with the constraints on their machines.
struct ResourceDemand {
  Resources need;                  ///< resources per task
  uint32_t count = 0;              ///< number of tasks
  std::vector<std::string> types;  ///< allowed machine types; empty: any
  std::string zone;                ///< required zone; empty: any
  bool spot = false;               ///< spot machines allowed
  bool distinct_machines = false;  ///< of a gang: at most one task per machine
  bool gang = false;               ///< capacity needed for all tasks or for none
  bool one_zone = false;           ///< all tasks in the same zone
};

/// A machine kind that the cloud offers, with its availability according to recent replies.
struct MachineOffer {
  MachineKind kind;
  bool refused = false;  ///< refused recently; not to be requested now
  /// Refused within a longer period: existing machines of the kind are reserved for work that can't
  /// run elsewhere.
  bool scarce = false;
  bool request_pending = false;  ///< a request for the kind in progress
};

/// The snapshot of the fleet and the demand from which plan() derives a plan.
struct AutoscalerInput {
  std::vector<MachineType> types;
  std::vector<MachineOffer> offers;
  std::vector<MachineState> machines;
  std::vector<ResourceDemand> demand;  ///< unschedulable work
  /// All unfinished work that may use spot machines, running or pending.
  std::vector<ResourceDemand> spot_work;
  std::vector<MachineKind> replacements;  ///< kinds of machines to replace before draining
  /// Target headroom as a share of the resources in use.
  double headroom_share = 0.25;
  /// Headroom that costs more than this share of the fleet's price is limited to the expected
  /// arrivals.
  double cheap_headroom_share = 0.05;
  /// Idle time after which a machine is returned, as a multiple of the time that a replacement
  /// needs to boot and to fetch the machine's images.
  double idle_replacements = 1;
  Resources gpu_work;        ///< needs of unfinished tasks that use accelerators
  Resources cpu_work;        ///< needs of unfinished tasks without accelerators
  double largest_gpus = 0;   ///< accelerators of the largest task that may not use spot machines
  double expected_gpus = 0;  ///< accelerators of arrivals expected during a boot
  double expected_cpus = 0;  ///< CPUs of arrivals without accelerators expected during a boot
};

/// A number of machines of one kind to request.
struct ScaleOut {
  MachineKind kind;
  int count = 0;
};

/// The changes to the fleet that the autoscaler decided on.
struct ScalingPlan {
  std::vector<ScaleOut> scale_out;    ///< at most one entry per kind
  std::vector<std::string> scale_in;  ///< ids of the machines to return
  size_t examined = 0;  ///< machines examined, existing or planned: a measure of the work
};

/// Plans scale-out and scale-in. Deterministic: the same input yields the same plan.
[[nodiscard]] ScalingPlan plan(const AutoscalerInput& input);

}  // namespace damsonport::autoscaling
