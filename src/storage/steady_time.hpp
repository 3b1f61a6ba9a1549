/// Constants for points in time on the steady clock, in seconds as Loop::now() returns them.
#pragma once
#include <limits>

namespace damsonport {

/// Time of an event that has not happened yet. `never` lies before every other time, so an age
/// computed from it exceeds every bound and comparisons need no special case.
inline constexpr double never = -std::numeric_limits<double>::infinity();

}  // namespace damsonport
