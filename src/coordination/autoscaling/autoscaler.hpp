// How many machines to rent and which idle ones to give back. Pure.
#pragma once
#include <string>
#include <vector>

#include "coordination/scheduling/scheduler.hpp"
#include "protocol/messages.hpp"

namespace damsonport {

// What each task of the job takes of its machine.
inline scheduling::Resources resources_per_task(const JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}

}  // namespace damsonport

namespace damsonport::autoscaling {

using scheduling::Resources;

struct MachineState {
  std::string id, type, zone;
  bool spot = false;
  bool open = false;     // takes tasks
  bool booting = false;  // expected to take tasks soon
  bool empty = false;
  double idle_s = 0;
  double images_gb = 0;  // held
  Resources total, free;
  // Held by tasks that may use spot machines and save by themselves: they give way to urgent work.
  Resources yielding;
  bool has_fixed_work = false;  // runs tasks that may not use spot machines
};

struct ResourceDemand {
  Resources need;
  uint32_t count = 0;
  std::vector<std::string> types;
  std::string zone;
  bool spot = false;
  bool distinct_machines = false;  // of a gang, one task a machine
  bool gang = false;               // all of it or nothing
  bool one_zone = false;           // all of it in the same zone
};

struct InstanceOffer {  // one kind of machine that the cloud may have
  std::string type, zone;
  bool spot = false;
  bool refused = false;  // lately
  bool scarce =
      false;  // refused in a longer time: what there is of it is worth more than its price
  bool under_way = false;  // a request for it is not answered yet
};

struct AutoscalerInput {
  std::vector<MachineType> types;
  std::vector<InstanceOffer> offers;
  std::vector<MachineState> machines;
  std::vector<ResourceDemand> demand;  // could not be placed
  // All unfinished work that may use spot machines, whether it runs already or not.
  std::vector<ResourceDemand> spot_work;
  std::vector<InstanceOffer> replacements;  // machines to be replaced before they are drained
  // The spare room: a share of what is in use, of which what costs more than the second share of
  // the fleet's price is kept only as far as arrivals are expected.
  double headroom_share = 0.25, cheap_share = 0.05;
  // An idle machine is given back after so many times what another one would take to replace it: to
  // boot and to fetch the images.
  double idle_replacements = 1;
  // Of all unfinished tasks, with and without accelerators.
  Resources gpu_work, cpu_work;
  double largest_gpus = 0;  // the largest task that may not use spot machines
  // Accelerators, and CPUs of work without them, likely to be asked for while a machine boots.
  double expected_gpus = 0, expected_cpus = 0;
};

struct ScaleOut {
  std::string type, zone;
  bool spot = false;
  int count = 0;
};

struct ScalingPlan {
  std::vector<ScaleOut> scale_out;
  std::vector<std::string> scale_in;
  size_t examined = 0;  // rooms and machines looked at: the work of this plan
};

ScalingPlan plan(const AutoscalerInput& in);

}  // namespace damsonport::autoscaling
