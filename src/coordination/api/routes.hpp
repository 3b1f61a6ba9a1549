/// The paths that a controller serves, and the methods that each of them takes. Pure.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "transport/http.hpp"

namespace damsonport {

enum class Resource : uint8_t {
  unknown,
  worker_heartbeat,  ///< POST /hello
  health,            ///< GET /healthz
  job_collection,    ///< POST /api/jobs
  job,               ///< GET /api/jobs/ID
  job_cancellation,  ///< POST /api/jobs/ID/cancel
};

struct Route {
  Resource resource = Resource::unknown;
  Method method = Method::other;  ///< the only one that the resource takes
  std::string job;                ///< the ID in the path, not checked
};

/// `path`: without the query. An unknown path yields Resource::unknown.
Route match_route(std::string_view path);

/// Whether the path lies within the user API, known or not.
bool is_user_path(std::string_view path);
/// Whether the path is that of the workers' heartbeats.
bool is_worker_path(std::string_view path);

}  // namespace damsonport
