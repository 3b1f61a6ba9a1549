#include "transport/open_file_limit.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace damsonport {

size_t ensure_open_file_limit(size_t wanted_files) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
  if (limit.rlim_cur >= wanted_files) return limit.rlim_cur;
  rlimit raised = limit;
  raised.rlim_cur = std::min<rlim_t>(wanted_files, limit.rlim_max);
  return setrlimit(RLIMIT_NOFILE, &raised) == 0 ? raised.rlim_cur : limit.rlim_cur;
}

}  // namespace damsonport
