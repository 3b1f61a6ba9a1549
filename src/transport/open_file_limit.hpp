/// Limit of the files, including sockets, that the process may have open.
#pragma once
#include <cstddef>

namespace damsonport {

/// Raises the soft limit to `wanted_files` if it is lower, as far as the hard limit allows. Returns
/// the resulting soft limit, or 0 if the limit can't be determined.
size_t ensure_open_file_limit(size_t wanted_files);

}  // namespace damsonport
