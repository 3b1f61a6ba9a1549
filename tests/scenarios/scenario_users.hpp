/// The users of a scenario. They submit, cancel and poll jobs according to the protocol, and report
/// each response to the rule checker.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>

#include "scenarios/scenario_deployment.hpp"
#include "simulation/submission.hpp"

namespace damsonport::simulation {

/// Sends the requests of all users. Controllers are given by their index.
class ScenarioUsers {
 public:
  ScenarioUsers(World& world, const ScenarioPlan& plan, ScenarioDeployment& deployment)
      : world_(world), plan_(plan), deployment_(deployment) {}

  /// Whether a user tries the next controller after a refusal or a timeout.
  enum class Retry : uint8_t { no, yes };
  /// Submits or cancels a job. `started_at` is the time of the first try, which bounds the retries.
  void submit(const std::string& job, size_t controller, double started_at, Retry retry);
  void cancel(const std::string& job, size_t controller, double started_at);
  /// Requests the status of a job once.
  void poll(const std::string& job, size_t controller);
  /// Starts to poll the job periodically, unless it is polled already or the scenario is `quiet`.
  void begin_polling(const std::string& job);
  /// Sends a random invalid request: a submission without a field, or a job that can never run.
  void send_invalid_request();
  /// Sends a random malformed body to the path of submissions or to that of heartbeats.
  void send_malformed_request();
  /// Requests the job's status and number of running tasks from a controller now, and calls `then`
  /// with the response.
  void request_status(const std::string& job, size_t controller,
                      std::function<void(const Json& status)> then);
  /// Draws one of the running controllers that `via` selects, or one of all if `via` is empty.
  size_t pick_controller(const std::string& via);

 private:
  using OnResponse = std::function<void(const HttpClientResponse&, double requested_at)>;
  /// Calls `then` with the response, or with status 0 after `timeout_s` seconds without a response.
  void send_request(size_t controller, Method method, const std::string& path,
                    const std::string& body, double timeout_s, OnResponse then);
  size_t next_controller(size_t controller) const;
  Draw draw();
  /// The body of the job's submission.
  std::string written(const JobSpec& spec);
  void on_job_response(const std::string& job, const HttpClientResponse& reply,
                       double requested_at);
  void query_all_controllers(const std::string& job);
  void keep_polling(const std::string& job);

  World& world_;
  const ScenarioPlan& plan_;
  ScenarioDeployment& deployment_;
  std::set<std::string> polled_jobs_;
  std::map<std::string, std::string>
      last_queried_status_;  // by job; the status after which all controllers were queried
};

}  // namespace damsonport::simulation
