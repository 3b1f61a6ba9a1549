#include "simulation/submission.hpp"

namespace damsonport::simulation {

Json submission_of(const JobSpec& spec) {
  Json m = {{"same_place", false}, {"spread", false}, {"tender", false},
            {"voyage_s", 0.0},     {"moor_s", 0.0},   {"stow_s", 0.0}};
  m.update(encode_job(spec));
  // These fields belong to the job's record and not to a user's message.
  for (const char* own : {"accepted_at", "parts", "distinct_machines"}) m.erase(own);
  return m;
}

}  // namespace damsonport::simulation
