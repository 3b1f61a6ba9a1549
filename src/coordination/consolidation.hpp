// Which machine to empty, so that it can be given back, by moving its tasks to others that have room
// beside the same images. Pure: all that counts is passed in.
#pragma once
#include <optional>

#include "coordination/placement.hpp"

namespace damsonport::consolidation {

struct Limits {
  // Room that the fleet can do without: accelerators, and the CPUs of machines without them.
  double spare_gpus = 0, spare_cpus = 0;
  // Tasks that run for less than this aren't moved.
  double settled_s = 0;
  // A machine used more than this by tasks that have to be moved stays as it is.
  double most_used_share = 0.5;
  // Cheaper machines, in relation to the dearest type, aren't worth a move.
  double least_price_share = 0.05;
};

// Its place among the machines; nothing: none is worth emptying, or can be.
std::optional<size_t> machine_to_empty(const placing::Input& fleet, const Limits& limits);

}  // namespace damsonport::consolidation
