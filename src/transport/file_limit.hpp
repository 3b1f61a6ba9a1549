// How many files, sockets among them, the process may have open.
#pragma once
#include <cstddef>

namespace damsonport {

// Raises the soft limit to what is wanted, as far as the hard one allows. Yields the limit in
// force, or 0 where it can't be told.
size_t ensure_open_files(size_t wanted);

}  // namespace damsonport
