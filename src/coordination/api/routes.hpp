/// The paths that a controller serves and the method that each of them supports. Pure.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "transport/http.hpp"

namespace damsonport {

/// What a path refers to.
enum class Resource : uint8_t {
  unknown,
  worker_heartbeat,  ///< POST /hello
  health,            ///< GET /healthz
  job_collection,    ///< POST /api/jobs
  job,               ///< GET /api/jobs/ID
  job_cancellation,  ///< POST /api/jobs/ID/cancel
};

/// Method and path of the resource, for the log.
const char* describe(Resource resource);

/// Result of match_route().
struct Route {
  Resource resource = Resource::unknown;
  Method method = Method::other;  ///< the only method that the resource supports
  std::string job;                ///< ID in the path, not validated
};

/// Matches `path`, without the query. Returns Resource::unknown for an unknown path.
Route match_route(std::string_view path);

/// Whether the path belongs to the user API; true also for unknown paths below it.
bool is_user_path(std::string_view path);
/// Whether the path is the one for heartbeats of workers.
bool is_worker_path(std::string_view path);

}  // namespace damsonport
