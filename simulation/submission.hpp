/// The message that a user sends to submit a job.
#pragma once
#include <functional>
#include <string>

#include "protocol/messages.hpp"

namespace damsonport::simulation {

/// Returns the submission of this job with all the fields that the protocol requires of a user. A
/// job's record may omit fields that are zero; a submission may not.
Json submission_of(const JobSpec& spec);

/// Draws a number below `bound`.
using Draw = std::function<uint64_t(uint64_t bound)>;

/// Returns the message in another form that says the same: fields in another order, other lengths
/// of numbers, texts and maps, and unknown fields of any content.
std::string written_in_another_way(const Json& message, const Draw& draw);

/// Returns a body that is malformed CBOR, made of the message.
std::string malformed_body(const Json& message, const Draw& draw);

}  // namespace damsonport::simulation
