/// Times of the steady clock, in seconds, as Loop::now() gives them.
#pragma once
#include <limits>

namespace damsonport {

/// The time of what has not happened yet. It lies before every other time, so that an age counted
/// from it exceeds every bound, and comparisons need no case of their own.
inline constexpr double never = -std::numeric_limits<double>::infinity();

}  // namespace damsonport
