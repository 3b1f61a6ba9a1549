#include "simulation/submission.hpp"

namespace damsonport::simulation {

Json submission_of(const JobSpec& spec) {
  Json m = {{"same_place", false}, {"spread", false}, {"tender", false},
            {"voyage_s", 0.0},     {"moor_s", 0.0},   {"stow_s", 0.0}};
  m.update(encode_job(spec));
  m.erase("accepted_at");
  return m;
}

}  // namespace damsonport::simulation
