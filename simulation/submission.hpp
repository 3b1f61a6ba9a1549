/// The message that a user sends to submit a job.
#pragma once
#include "protocol/messages.hpp"

namespace damsonport::simulation {

/// The submission of this job, with all the fields that the protocol demands of a user: unlike the
/// job's record, it may not leave out those that are zero.
Json submission_of(const JobSpec& spec);

}  // namespace damsonport::simulation
