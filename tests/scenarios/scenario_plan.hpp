/// The contents of a scenario trace: a deployment, and the events that happen to it.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "scenarios/scenario_options.hpp"

namespace damsonport::simulation {

/// An action or an expectation at a time of the virtual clock.
struct ScenarioEvent {
  enum class Kind : uint8_t { action, expectation };
  double at_s = 0;
  Kind kind = Kind::action;
  std::string verb;    // names the action or the expectation
  std::string target;  // jobs, controllers, machines or a count, depending on the verb
  Options options;
};

/// A machine that is up at the start.
struct InitialMachine {
  std::string type;
  std::string zone;
  bool spot = false;
};

/// The parsed trace of a scenario, which ScenarioParser fills line by line.
struct ScenarioPlan {
  ScenarioPlan() { settings.cloud_rps = 5; }

  Settings settings;  // shared by all controllers
  int controller_count = 3;
  double clock_drift = 0.0005;  // rate error of every second controller's steady clock
  StateLimits store_limits{150, 50, 16, 12};
  StateLimits announced_store_limits{150, 50, 16, 12};  // in force after `lower_limits`
  std::string stored_records;  // fixture with records of an earlier version, or empty

  std::vector<MachineType> machine_types;
  std::vector<InitialMachine> initial_machines;
  int cloud_capacity = 0;        // maximum number of machines
  size_t cloud_page_size = 500;  // machines in one page of the machine list
  double boot_s = 0;             // 0 for the boot time in the machine type catalog

  std::map<std::string, JobSpec> jobs;
  std::map<std::string, double> run_time_s;  // by job
  std::set<std::string> broken_jobs;         // jobs with tasks that fail on every machine
  bool users_poll = true;                    // users poll their jobs periodically
  bool users_vary_writing = false;           // users write submissions in different forms of CBOR
  bool users_query_after_changes = false;    // users query all controllers right after each change

  std::vector<ScenarioEvent> events;
  double end_s = 100;
};

}  // namespace damsonport::simulation
