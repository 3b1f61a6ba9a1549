#include "coordination/machines/dead_machine_timeout.hpp"

namespace damsonport {

namespace {
constexpr double mass_share = 0.35;
constexpr size_t mass_at_least = 4;
constexpr double mass_leases = 3;
}  // namespace

double DeadMachineTimeout::limit(double now, size_t known, size_t silent, double dead_after_s,
                                 double lease_s) {
  if (silent >= mass_at_least &&
      static_cast<double>(silent) > mass_share * static_cast<double>(known))
    mass_seen_at_ = now;
  return now - mass_seen_at_ < dead_after_s ? mass_leases * lease_s : dead_after_s;
}

}  // namespace damsonport
