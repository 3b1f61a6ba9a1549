#include "simulation/simulated_fleet.hpp"

#include <algorithm>

namespace damsonport::simulation {

namespace {
constexpr int first_machine_id = 100000;
constexpr int machines_per_subnet = 200;

MachineInfo make_machine(int number, const std::string& address_prefix) {
  MachineInfo machine;
  machine.id = "i-" + std::to_string(first_machine_id + number);
  machine.address = address_prefix + std::to_string(number / machines_per_subnet) + "." +
                    std::to_string(number % machines_per_subnet) + ":9000";
  return machine;
}
}  // namespace

SimulatedFleet::SimulatedFleet(World& world, const Settings& shared_settings,
                               std::vector<MachineType> machine_types,
                               std::vector<ControllerAddress> all_controllers,
                               std::string address_prefix)
    : settings(shared_settings),
      controllers(std::move(all_controllers)),
      world_(world),
      address_prefix_(std::move(address_prefix)),
      rules_(world, shared_settings),
      gangs_(world, *this),
      cloud_(world, shared_settings, std::move(machine_types), *this) {}

Worker& SimulatedFleet::add(const std::string& type, const std::string& zone, bool spot) {
  MachineInfo machine = make_machine(++last_number_, address_prefix_);
  machine.type = type;
  machine.zone = zone;
  machine.spot = spot;
  cloud_.add_machine(machine);
  auto& worker = workers_[machine.id];
  worker = std::make_unique<Worker>(world_, *this, machine);
  return *worker;
}

Worker& SimulatedFleet::add_up(const std::string& type, const std::string& zone, bool spot) {
  Worker& worker = add(type, zone, spot);
  cloud_.mark_up(worker.id);
  worker.begin();
  return worker;
}

Worker* SimulatedFleet::find(const std::string& id) {
  auto it = workers_.find(id);
  return it == workers_.end() || it->second->gone ? nullptr : it->second.get();
}

const MachineType* SimulatedFleet::find_type(const std::string& name) const {
  const auto& types = cloud_.machine_types();
  auto it = std::find_if(types.begin(), types.end(), [&](auto& type) { return type.name == name; });
  return it == types.end() ? nullptr : &*it;
}

int SimulatedFleet::starts(const std::string& job) const {
  auto it = starts_.find(job);
  return it == starts_.end() ? 0 : it->second;
}

}  // namespace damsonport::simulation
