// What a user sends to submit a job.
#pragma once
#include "protocol/messages.hpp"

namespace damsonport::simulation {

// A job's record leaves out what is nothing; a user's message may not.
Json submission_of(const JobSpec& spec);

}  // namespace damsonport::simulation
