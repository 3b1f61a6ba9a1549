#include "coordination/scheduling/scheduler_snapshot.hpp"

#include "coordination/scheduling/contains.hpp"

namespace damsonport::scheduling {

bool has_image(const MachineSnapshot& machine, NameId image) {
  return contains(machine.images, image) && !contains(machine.fetching, image);
}

}  // namespace damsonport::scheduling
