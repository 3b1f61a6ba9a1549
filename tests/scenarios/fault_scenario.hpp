/// A fault scenario: whole controllers against the stand-ins, driven by a trace. See
/// traces/scenarios/README.
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

class FaultScenario {
 public:
  /// Two scenarios with the same seed and the same lines run alike.
  explicit FaultScenario(uint64_t seed = 1) : world_(seed) {}
  /// Where the files with stored records are.
  std::string fixtures_dir;
  /// Adds one line of a trace; yields what is wrong with it, if anything is.
  [[nodiscard]] std::optional<std::string> add_line(const std::string& text) {
    return parser_.parse_line(text);
  }
  /// Plays to the end, once; yields broken rules and expectations that were not met.
  std::vector<std::string> play();
  const World& world() const { return world_; }
  World& world() { return world_; }

 private:
  void set_up();
  /// Puts the records of a fixture into the key-value store, and tells the rule checker of them.
  void load_records(const std::string& file);
  void load_chunk(const std::string& key, const Json& value);
  void load_job(const std::string& job);
  void apply(const ScenarioEvent& event);
  /// Compares what controllers claim of replicas with the truth, again and again.
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
