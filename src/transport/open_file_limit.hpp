/// How many files, sockets among them, the process may have open.
#pragma once
#include <cstddef>

namespace damsonport {

/// Raises the soft limit to `wanted_files`, as far as the hard limit allows. Yields the limit in
/// force afterwards, or 0 where the system doesn't tell it.
size_t ensure_open_file_limit(size_t wanted_files);

}  // namespace damsonport
