/// Parses the language of the scenario traces. See traces/scenarios/README.
#pragma once
#include <optional>
#include <sstream>
#include <string>

#include "scenarios/scenario_plan.hpp"

namespace damsonport::simulation {

/// Builds the plan of a scenario from the lines of its trace.
class ScenarioParser {
 public:
  explicit ScenarioParser(ScenarioPlan& plan) : plan_(plan) {}
  /// Adds one line of a trace to the plan. Returns an error if the line is invalid.
  [[nodiscard]] std::optional<std::string> parse_line(const std::string& text);

 private:
  using Error = std::optional<std::string>;
  using Handler = Error (ScenarioParser::*)(std::istringstream& line);
  static Handler handler_of(const std::string& verb);

  Error parse_controllers(std::istringstream& line);
  Error parse_workers(std::istringstream& line);
  Error parse_store_limits(std::istringstream& line);
  Error parse_announced_limits(std::istringstream& line);
  Error parse_team(std::istringstream& line);
  Error parse_machine_type(std::istringstream& line);
  Error parse_machines(std::istringstream& line);
  Error parse_cloud(std::istringstream& line);
  Error parse_tuning_entries(std::istringstream& line);
  Error parse_replica_entries(std::istringstream& line);
  Error parse_jobs(std::istringstream& line);
  Error parse_stored_records(std::istringstream& line);
  Error parse_quiet(std::istringstream& line);
  Error parse_varied_writing(std::istringstream& line);
  Error parse_query_after_changes(std::istringstream& line);
  Error parse_end(std::istringstream& line);
  Error parse_action(std::istringstream& line);
  Error parse_final_expectation(std::istringstream& line);
  void add_expectation(double at_s, std::istringstream& line);
  void add_event(ScenarioEvent event, std::istringstream& line);

  ScenarioPlan& plan_;
};

}  // namespace damsonport::simulation
