/// Machine types and machine kinds: functions that look up a type, its price and its capacity. All
/// of them are pure.
#pragma once
#include <string>
#include <vector>

#include "coordination/scheduling/scheduler.hpp"
#include "protocol/messages.hpp"

namespace damsonport {

/// A kind of machine that a scale-out request can ask for: a machine type in a zone, either as a
/// spot machine (cheaper, but the cloud may reclaim it at any time) or as an on-demand machine.
struct MachineKind {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

/// Returns the type with this name, or null if there is none. The pointer refers into `types`.
const MachineType* find_machine_type(const std::vector<MachineType>& types,
                                     const std::string& name);

/// Returns the price per hour of one machine, in the currency of the catalog.
double hourly_price(const MachineType& type, bool spot);
/// Looks up the type by its name; returns 0 for a type that is not in `types`.
double hourly_price(const std::vector<MachineType>& types, const std::string& name, bool spot);

/// Returns the capacity of an empty machine of this type.
scheduling::Resources capacity_of(const MachineType& type);

}  // namespace damsonport
