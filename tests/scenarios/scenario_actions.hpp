/// The actions of a scenario: requests of users, and faults. traces/scenarios/README lists the
/// verbs.
#pragma once
#include <functional>
#include <string>

#include "scenarios/scenario_deployment.hpp"
#include "scenarios/scenario_users.hpp"
#include "simulation/request_repeater.hpp"

namespace damsonport::simulation {

/// Applies the actions of a trace to a deployment and its users.
class ScenarioActions {
 public:
  ScenarioActions(World& world, const ScenarioPlan& plan, ScenarioDeployment& deployment,
                  ScenarioUsers& users)
      : world_(world), plan_(plan), deployment_(deployment), users_(users), repeater_(world) {}
  /// Starts the action now. Returns false if the verb is unknown.
  [[nodiscard]] bool apply(const ScenarioEvent& event);

 private:
  using Handler = void (ScenarioActions::*)(const ScenarioEvent& event);
  static Handler handler_of(const std::string& verb);

  // Requests of users.
  void submit(const ScenarioEvent& event);
  void resubmit(const ScenarioEvent& event);
  void cancel(const ScenarioEvent& event);
  void poll(const ScenarioEvent& event);
  void send_invalid_requests(const ScenarioEvent& event);
  void send_malformed_requests(const ScenarioEvent& event);
  // Faults of the key-value store.
  void refuse(const ScenarioEvent& event);
  void store_outage(const ScenarioEvent& event);
  void set_transaction_fault(const ScenarioEvent& event);
  void lower_limits(const ScenarioEvent& event);
  void slow_store(const ScenarioEvent& event);
  // Faults of controllers and of the network.
  void crash(const ScenarioEvent& event);
  void crash_on_write(const ScenarioEvent& event);
  void write_old_version(const ScenarioEvent& event);
  void stall(const ScenarioEvent& event);
  void cut(const ScenarioEvent& event);
  void repeat_requests(const ScenarioEvent& event);
  /// Releases the kept copies after `downtime_s` if that is under a second.
  void release_copies_on_return(double downtime_s);
  // Faults of the cloud and of machines.
  void cloud_outage(const ScenarioEvent& event);
  void change_boot_time(const ScenarioEvent& event);
  void hang(const ScenarioEvent& event);
  void drop_incoming_messages(const ScenarioEvent& event);
  void drop_requests(const ScenarioEvent& event);
  void delay_commands(const ScenarioEvent& event);
  void drop_heartbeats(const ScenarioEvent& event);
  void fail_tasks(const ScenarioEvent& event);
  void set_machine_fault(const ScenarioEvent& event, bool Worker::*fault);
  void terminate_machines(const ScenarioEvent& event);
  void keep_heartbeat(const ScenarioEvent& event);
  void redeliver_kept_heartbeat(const ScenarioEvent& event);

  /// Calls `request` for each job that the event names, at intervals of `every` seconds.
  void repeat_at_interval(const ScenarioEvent& event, const std::function<void()>& request);
  void for_each_job_at_interval(const ScenarioEvent& event,
                                const std::function<void(const std::string& job)>& request);

  World& world_;
  const ScenarioPlan& plan_;
  ScenarioDeployment& deployment_;
  ScenarioUsers& users_;
  RequestRepeater repeater_;
};

}  // namespace damsonport::simulation
