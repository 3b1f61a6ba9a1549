// Gangs: all their tasks are placed by one decision or none is.
#include "coordination/placement_pass.hpp"

namespace damsonport::placing {

void PlacementPass::place_gang(size_t j) {
  const auto& job = in_.jobs[j];
  const size_t before = out_.starts.size();
  const auto used = used_;
  const auto places = tally(j);
  if (start_what_fits(j, job.waiting) == job.waiting) return;
  for (size_t i = before; i < out_.starts.size(); ++i) {
    free_[out_.starts[i].machine] += job.need;
    --replicas_[out_.starts[i].machine];
  }
  out_.starts.resize(before);
  used_ = used;
  tally(j) = places;
  note_unplaced(j, job.waiting, 0);
}

}  // namespace damsonport::placing
