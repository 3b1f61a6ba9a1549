/// Plays a fault scenario: real controllers run against the simulated environment, driven by the
/// lines of a trace. See traces/scenarios/README.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "scenarios/scenario_actions.hpp"
#include "scenarios/scenario_checks.hpp"
#include "scenarios/scenario_deployment.hpp"
#include "scenarios/scenario_parser.hpp"
#include "scenarios/scenario_users.hpp"

namespace damsonport::simulation {

/// Adds the lines of one trace and then plays the scenario once.
class FaultScenario {
 public:
  /// Two scenarios with the same seed and the same lines run identically.
  explicit FaultScenario(uint64_t seed = 1) : world_(seed) {}
  /// The directory of the files with stored records. Set before play().
  std::string fixtures_dir;
  /// Adds one line of a trace. Returns an error if the line is invalid.
  [[nodiscard]] std::optional<std::string> add_line(const std::string& text) {
    return parser_.parse_line(text);
  }
  /// Plays the scenario to its end. May be called once. Returns the violated rules and the
  /// expectations that were not met.
  std::vector<std::string> play();
  const World& world() const { return world_; }
  World& world() { return world_; }

 private:
  void set_up();
  /// Loads the records of a fixture into the key-value store and reports their jobs and tasks to
  /// the rule checker.
  void load_records(const std::string& file);
  void load_chunk(const std::string& key, const Json& value);
  void load_job(const std::string& job);
  void apply(const ScenarioEvent& event);
  /// Checks periodically what controllers claim about replicas against the state of their parts.
  void check_replica_claims();

  World world_;
  ScenarioPlan plan_;
  ScenarioParser parser_{plan_};
  ScenarioDeployment deployment_{world_, plan_};
  ScenarioUsers users_{world_, plan_, deployment_};
  ScenarioActions actions_{world_, plan_, deployment_, users_};
  ScenarioChecks checks_{world_, plan_, deployment_, users_};
};

}  // namespace damsonport::simulation
