/// What a scenario trace asks for: a deployment, and the events that happen to it.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "scenarios/scenario_options.hpp"

namespace damsonport::simulation {

/// Something that happens at a time of the virtual clock: an action or an expectation.
struct ScenarioEvent {
  enum class Kind : uint8_t { action, expectation };
  double at_s = 0;
  Kind kind = Kind::action;
  std::string verb;    // of the action, or what is expected
  std::string target;  // jobs, controllers, machines or a count, as the verb wants it
  Options options;
};

/// A machine that is up from the start.
struct InitialMachine {
  std::string type;
  std::string zone;
  bool spot = false;
};

/// Filled by the ScenarioParser, line by line.
struct ScenarioPlan {
  ScenarioPlan() { settings.cloud_rps = 5; }

  Settings settings;  // that all controllers share
  int controller_count = 3;
  double clock_drift = 0.0005;  // by which every second controller's steady clock runs fast
  StateLimits store_limits{150, 50, 16, 12};
  StateLimits announced_store_limits{150, 50, 16, 12};  // in force after `lower_limits`
  std::string stored_records;  // a fixture with records of an earlier version; empty: none

  std::vector<MachineType> machine_types;
  std::vector<InitialMachine> initial_machines;
  int cloud_capacity = 0;        // machines that the cloud has
  size_t cloud_page_size = 500;  // machines in one answer of the cloud's list
  double boot_s = 0;             // 0: as the catalog says

  std::map<std::string, JobSpec> jobs;
  std::map<std::string, double> run_time_s;  // by job
  std::set<std::string> broken_jobs;         // their tasks fail on every machine
  bool users_poll = true;                    // users ask for the state of their jobs now and then
  bool users_query_after_changes = false;    // and all controllers, right after each change

  std::vector<ScenarioEvent> events;
  double end_s = 100;
};

}  // namespace damsonport::simulation
