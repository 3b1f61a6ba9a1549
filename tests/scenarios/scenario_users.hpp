/// Users of a scenario, who submit, cancel and ask as the protocol says, and report each answer to
/// the rule checker.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>

#include "scenarios/scenario_deployment.hpp"

namespace damsonport::simulation {

class ScenarioUsers {
 public:
  ScenarioUsers(World& world, const ScenarioPlan& plan, ScenarioDeployment& deployment)
      : world_(world), plan_(plan), deployment_(deployment) {}

  /// Whether a user asks the next controller when one refuses or doesn't answer.
  enum class Retry : uint8_t { no, yes };
  /// Controllers are given by their index. `since`: when the user began to try.
  void submit(const std::string& job, size_t controller, double started_at, Retry retry);
  void cancel(const std::string& job, size_t controller, double started_at);
  void poll(const std::string& job, size_t controller);
  /// Polls the job from time to time from now on, unless it is polled already or users are quiet.
  void begin_polling(const std::string& job);
  /// A request that lacks a field, or a job that can never run; drawn at random.
  void send_invalid_request();
  /// The state of the job, and how many of its tasks run, as a controller shows them now.
  void request_status(const std::string& job, size_t controller,
                      std::function<void(const Json& status)> then);
  /// Draws one of the controllers that run, of those that `via` selects; empty: of all.
  size_t pick_controller(const std::string& via);

 private:
  using OnResponse = std::function<void(const HttpReply&, double requested_at)>;
  /// After `timeout_s` without an answer, `then` gets a reply with status 0.
  void send_request(size_t controller, Method method, const std::string& path,
                    const std::string& body, double timeout_s, OnResponse then);
  size_t next_controller(size_t controller) const;
  void on_job_response(const std::string& job, const HttpReply& reply, double requested_at);
  void query_all_controllers(const std::string& job);
  void keep_polling(const std::string& job);

  World& world_;
  const ScenarioPlan& plan_;
  ScenarioDeployment& deployment_;
  std::set<std::string> polled_jobs_;
  std::map<std::string, std::string>
      last_queried_status_;  // by job: status after which all were asked
};

}  // namespace damsonport::simulation
