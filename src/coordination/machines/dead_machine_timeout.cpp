#include "coordination/machines/dead_machine_timeout.hpp"

namespace damsonport {

namespace {
// A mass outage: more than this share of the fleet is suspected, and at least this many machines.
constexpr double mass_outage_share = 0.35;
constexpr size_t mass_outage_min_machines = 4;
constexpr double mass_outage_timeout_leases = 3;
}  // namespace

double DeadMachineTimeout::timeout_s(double now, size_t known_machines, size_t suspected_machines,
                                     double dead_after_s, double lease_s) {
  if (suspected_machines >= mass_outage_min_machines &&
      static_cast<double>(suspected_machines) >
          mass_outage_share * static_cast<double>(known_machines))
    last_mass_outage_at_ = now;
  return now - last_mass_outage_at_ < dead_after_s ? mass_outage_timeout_leases * lease_s
                                                   : dead_after_s;
}

}  // namespace damsonport
