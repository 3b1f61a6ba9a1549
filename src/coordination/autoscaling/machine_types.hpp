/// Machine types and kinds of machines: look-up, price and capacity. Pure.
#pragma once
#include <string>
#include <vector>

#include "coordination/scheduling/scheduler.hpp"
#include "protocol/messages.hpp"

namespace damsonport {

/// What a scale-out request chooses: a machine type, a zone, and whether the machine is a spot one
/// (cheaper, and the cloud may take it back) or an on-demand one.
struct MachineKind {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

/// The type of this name, or null. Points into `types`.
const MachineType* find_machine_type(const std::vector<MachineType>& types,
                                     const std::string& name);

/// Price of one machine for an hour, in the currency of the catalogue.
double hourly_price(const MachineType& type, bool spot);
/// The same by the type's name; 0 for a type that the catalogue doesn't have.
double hourly_price(const std::vector<MachineType>& types, const std::string& name, bool spot);

/// Capacity of an empty machine.
scheduling::Resources capacity_of(const MachineType& type);

}  // namespace damsonport
