#include "coordination/api/routes.hpp"

namespace damsonport {

namespace {

constexpr std::string_view jobs_path = "/api/jobs";
constexpr std::string_view worker_heartbeat_path = "/hello";
constexpr std::string_view health_path = "/healthz";
constexpr std::string_view cancel_suffix = "/cancel";

// `rest`: the path after "/api/jobs/".
Route match_job_route(std::string_view rest) {
  const auto slash = rest.find('/');
  std::string job(rest.substr(0, slash));
  if (slash == std::string_view::npos) return {Resource::job, Method::get, std::move(job)};
  if (rest.substr(slash) == cancel_suffix)
    return {Resource::job_cancellation, Method::post, std::move(job)};
  return {};
}

}  // namespace

const char* describe(Resource resource) {
  switch (resource) {
    case Resource::worker_heartbeat:
      return "POST /hello";
    case Resource::health:
      return "GET /healthz";
    case Resource::job_collection:
      return "POST /api/jobs";
    case Resource::job:
      return "GET /api/jobs/ID";
    case Resource::job_cancellation:
      return "POST /api/jobs/ID/cancel";
    case Resource::unknown:
      break;
  }
  return "another path";
}

Route match_route(std::string_view path) {
  if (path == worker_heartbeat_path) return {Resource::worker_heartbeat, Method::post, {}};
  if (path == health_path) return {Resource::health, Method::get, {}};
  if (path == jobs_path) return {Resource::job_collection, Method::post, {}};
  if (!path.starts_with(jobs_path)) return {};
  const std::string_view rest = path.substr(jobs_path.size());
  if (rest.size() > 1 && rest.front() == '/') return match_job_route(rest.substr(1));
  return {};
}

bool is_user_path(std::string_view path) { return path.starts_with(jobs_path); }

bool is_worker_path(std::string_view path) { return path == worker_heartbeat_path; }

}  // namespace damsonport
