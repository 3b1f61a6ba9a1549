#include "scenarios/scenario_users.hpp"

namespace damsonport::simulation {

namespace {
const std::string user_host = "10.9.0.1";
constexpr double submit_timeout_s = 5;
constexpr double poll_timeout_s = 2;
constexpr double poll_interval_s = 5;
constexpr double retry_delay_s = 1;
constexpr double max_retry_s = 60;

// A job that the deployment can't run, or a submission without a required field.
struct InvalidRequest {
  Json submission;
  int expected_status;
};

InvalidRequest make_invalid_request(const JobSpec& spec, int kind) {
  Json submission = submission_of(spec);
  if (kind == 0) {
    submission["owner"] = "nobody";
  } else if (kind == 1) {
    submission["cores"] = 100000.0;
  } else if (kind == 2) {
    submission["dock"] = "nowhere";
  } else {
    // Removes one required field, chosen by `kind`.
    auto field = submission.begin();
    std::advance(field, kind % static_cast<int>(submission.size()));
    submission.erase(field);
    return {std::move(submission), 400};
  }
  return {std::move(submission), 422};
}
}  // namespace

size_t ScenarioUsers::pick_controller(const std::string& via) {
  std::vector<VirtualController*> running;
  for (auto* controller : deployment_.select_controllers(via.empty() ? "all" : via))
    if (controller->running()) running.push_back(controller);
  if (running.empty()) return world_.random64() % deployment_.controllers().size();
  return deployment_.index_of(*running[world_.random64() % running.size()]);
}

size_t ScenarioUsers::next_controller(size_t controller) const {
  return (controller + 1) % deployment_.controllers().size();
}

void ScenarioUsers::send_request(size_t controller, Method method, const std::string& path,
                                 const std::string& body, double timeout_s, OnResponse then) {
  const double requested_at = world_.now();
  auto has_response = std::make_shared<bool>(false);
  auto on_reply = [has_response, then = std::move(then),
                   requested_at](const HttpClientResponse& reply) {
    if (*has_response) return;
    *has_response = true;
    then(reply, requested_at);
  };
  world_.in(timeout_s, [on_reply] { on_reply({0, {}}); });
  world_.send_request(user_host, deployment_.controllers()[controller]->host(), method, path, body,
                      on_reply);
}

void ScenarioUsers::submit(const std::string& job, size_t controller, double started_at,
                           Retry retry) {
  const JobSpec& spec = plan_.jobs.at(job);
  deployment_.fleet().rules().on_submission(spec);
  send_request(controller, Method::post, "/api/jobs", written(spec), submit_timeout_s,
               [this, job, controller, started_at, retry](const HttpClientResponse& reply,
                                                          double requested_at) {
                 on_job_response(job, reply, requested_at);
                 const bool accepted = reply.status == 200 || reply.status == 201;
                 const bool invalid = reply.status == 400 || reply.status == 422;
                 if (accepted || invalid || retry == Retry::no) return;
                 if (world_.now() - started_at < max_retry_s)
                   world_.in(retry_delay_s, [this, job, controller, started_at] {
                     submit(job, next_controller(controller), started_at, Retry::yes);
                   });
               });
}

void ScenarioUsers::cancel(const std::string& job, size_t controller, double started_at) {
  send_request(
      controller, Method::post, "/api/jobs/" + job + "/cancel", {}, submit_timeout_s,
      [this, job, controller, started_at](const HttpClientResponse& reply, double requested_at) {
        if (reply.status == 200 || reply.status == 404) on_job_response(job, reply, requested_at);
        if (reply.status == 200) return;
        if (world_.now() - started_at < max_retry_s)
          world_.in(retry_delay_s, [this, job, controller, started_at] {
            cancel(job, next_controller(controller), started_at);
          });
      });
}

void ScenarioUsers::poll(const std::string& job, size_t controller) {
  send_request(controller, Method::get, "/api/jobs/" + job, {}, poll_timeout_s,
               [this, job](const HttpClientResponse& reply, double requested_at) {
                 if (reply.status == 200 || reply.status == 404)
                   on_job_response(job, reply, requested_at);
               });
}

void ScenarioUsers::request_status(const std::string& job, size_t controller,
                                   std::function<void(const Json& status)> then) {
  send_request(controller, Method::get, "/api/jobs/" + job, {}, poll_timeout_s,
               [then = std::move(then)](const HttpClientResponse& reply, double) {
                 then(decode_map(reply.body));
               });
}

void ScenarioUsers::send_invalid_request() {
  constexpr uint64_t kinds = 24;
  const int kind = static_cast<int>(world_.random64() % kinds);
  const size_t controller = world_.random64() % deployment_.controllers().size();
  JobSpec spec = plan_.jobs.begin()->second;
  spec.id = "run-odd" + std::to_string(world_.random64() % 1000000);
  const auto request = make_invalid_request(spec, kind);
  send_request(
      controller, Method::post, "/api/jobs", encode(request.submission), submit_timeout_s,
      [this, kind, expected = request.expected_status](const HttpClientResponse& reply, double) {
        // A controller that can't decide yet may ask for a retry, but must not accept.
        if (reply.status != expected && reply.status != 503 && reply.status != 0)
          deployment_.fleet().rules().report_violation("odd request " + std::to_string(kind),
                                                       "answered " + std::to_string(reply.status));
      });
}

Draw ScenarioUsers::draw() {
  return [this](uint64_t bound) { return bound == 0 ? 0 : world_.random64() % bound; };
}

std::string ScenarioUsers::written(const JobSpec& spec) {
  const Json submission = submission_of(spec);
  return plan_.users_vary_writing ? written_in_another_way(submission, draw()) : encode(submission);
}

void ScenarioUsers::send_malformed_request() {
  const size_t controller = world_.random64() % deployment_.controllers().size();
  const char* path = world_.random64() % 2 == 0 ? "/api/jobs" : "/hello";
  const std::string body = malformed_body(submission_of(plan_.jobs.begin()->second), draw());
  send_request(controller, Method::post, path, body, submit_timeout_s,
               [this](const HttpClientResponse& reply, double) {
                 if (reply.status != 400 && reply.answered())
                   deployment_.fleet().rules().report_violation(
                       "malformed request", "answered " + std::to_string(reply.status));
               });
}

void ScenarioUsers::on_job_response(const std::string& job, const HttpClientResponse& reply,
                                    double requested_at) {
  const Json response = decode_map(reply.body);
  const auto status =
      response.is_object() ? response.value("status", std::string()) : std::string();
  deployment_.fleet().rules().on_response(job, reply.status, status, requested_at);
  const bool refused = reply.status >= 300;
  if (!refused) begin_polling(job);
  // All controllers are queried after the first response, and after the job's final status.
  const bool is_final = status == "done" || status == "aborted";
  std::string& last_queried_status = last_queried_status_[job];
  if (!plan_.users_query_after_changes || refused || (!is_final && !last_queried_status.empty()) ||
      last_queried_status == status)
    return;
  last_queried_status = status;
  for (double delay_s : {0.0, 0.001, 0.004, 0.012, 0.03, 0.1})
    world_.in(delay_s, [this, job] { query_all_controllers(job); });
}

void ScenarioUsers::query_all_controllers(const std::string& job) {
  constexpr double resubmit_probability = 0.3;
  for (size_t i = 0; i < deployment_.controllers().size(); ++i) {
    poll(job, i);
    if (world_.uniform(0, 1) < resubmit_probability) submit(job, i, world_.now(), Retry::no);
  }
}

void ScenarioUsers::begin_polling(const std::string& job) {
  if (plan_.users_poll && polled_jobs_.insert(job).second) keep_polling(job);
}

void ScenarioUsers::keep_polling(const std::string& job) {
  poll(job, world_.random64() % deployment_.controllers().size());
  world_.in(poll_interval_s * world_.uniform(0.8, 1.2), [this, job] { keep_polling(job); });
}

}  // namespace damsonport::simulation
