/// The message that a user sends to submit a job.
#pragma once
#include "protocol/messages.hpp"

namespace damsonport::simulation {

/// Returns the submission of this job with all the fields that the protocol requires of a user. A
/// job's record may omit fields that are zero; a submission may not.
Json submission_of(const JobSpec& spec);

}  // namespace damsonport::simulation
