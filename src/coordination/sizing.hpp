// How many machines to rent and which idle ones to give back. Pure.
#pragma once
#include <string>
#include <vector>

#include "coordination/placement.hpp"
#include "protocol/messages.hpp"

namespace damsonport {

// What each task of the job takes of its machine.
inline placing::Amounts need_of(const JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}

}  // namespace damsonport

namespace damsonport::sizing {

using placing::Amounts;

struct MachineState {
  std::string id, type, zone;
  bool spot = false;
  bool open = false;     // takes tasks
  bool booting = false;  // expected to take tasks soon
  bool empty = false;
  double idle_s = 0;
  double images_gb = 0;  // held
  Amounts total, free;
  // Held by tasks that may use spot machines and save by themselves: they give way to urgent work.
  Amounts yielding;
  bool has_fixed_work = false;  // runs tasks that may not use spot machines
};

struct Demand {
  Amounts need;
  uint32_t count = 0;
  std::vector<std::string> types;
  std::string zone;
  bool spot = false;
  bool distinct_machines = false;  // of a gang, one task a machine
  bool gang = false;               // all of it or nothing
  bool one_zone = false;           // all of it in the same zone
};

struct Offer {  // one kind of machine that the cloud may have
  std::string type, zone;
  bool spot = false;
  bool refused = false;  // lately
  bool scarce =
      false;  // refused in a longer time: what there is of it is worth more than its price
  bool under_way = false;  // a request for it is not answered yet
};

struct Input {
  std::vector<MachineType> types;
  std::vector<Offer> offers;
  std::vector<MachineState> machines;
  std::vector<Demand> demand;  // could not be placed
  // All unfinished work that may use spot machines, whether it runs already or not.
  std::vector<Demand> spot_work;
  std::vector<Offer> replacements;  // machines to be replaced before they are drained
  // The spare room: a share of what is in use, of which what costs more than the second share of
  // the fleet's price is kept only as far as arrivals are expected.
  double spare_share = 0.25, cheap_share = 0.05;
  // An idle machine is given back after so many times what another one would take to replace it: to
  // boot and to fetch the images.
  double idle_replacements = 1;
  // Of all unfinished tasks, with and without accelerators.
  Amounts gpu_work, cpu_work;
  double largest_gpus = 0;  // the largest task that may not use spot machines
  // Accelerators, and CPUs of work without them, likely to be asked for while a machine boots.
  double expected_gpus = 0, expected_cpus = 0;
};

struct Rent {
  std::string type, zone;
  bool spot = false;
  int count = 0;
};

struct Plan {
  std::vector<Rent> rent;
  std::vector<std::string> give_back;
  size_t examined = 0;  // rooms and machines looked at: the work of this plan
};

Plan plan(const Input& in);

}  // namespace damsonport::sizing
