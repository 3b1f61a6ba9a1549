#include "coordination/autoscaling/machine_types.hpp"

namespace damsonport {

const MachineType* find_machine_type(const std::vector<MachineType>& types,
                                     const std::string& name) {
  for (const auto& type : types)
    if (type.name == name) return &type;
  return nullptr;
}

double hourly_price(const MachineType& type, bool spot) {
  return spot ? type.spot_price : type.price;
}

double hourly_price(const std::vector<MachineType>& types, const std::string& name, bool spot) {
  const auto* type = find_machine_type(types, name);
  return type ? hourly_price(*type, spot) : 0;
}

scheduling::Resources capacity_of(const MachineType& type) {
  return {type.cpus, type.gpus, type.memory_gb};
}

}  // namespace damsonport
