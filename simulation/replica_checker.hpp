/// Checks what controllers claim about replicas of several parts against what the parts do on their
/// machines, and measures how long repairs take.
#pragma once
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "protocol/messages.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

/// Follows the parts of all replicas. The owner reports each start and end of a part, and each
/// claim of a controller.
class ReplicaChecker {
 public:
  /// Called with the name of the violated rule and a description.
  using OnViolation = std::function<void(const std::string& rule, const std::string& description)>;
  ReplicaChecker(World& world, OnViolation on_violation)
      : world_(world), on_violation_(std::move(on_violation)) {}

  /// Handles the start of a part on a machine, where it stays until on_part_left().
  void on_part_started(const JobSpec& spec, const TaskId& task, uint64_t attempt,
                       const std::string& machine);
  void on_part_left(const JobSpec& spec, const TaskId& task, const std::string& machine);
  /// Checks a controller's claim that the replica is ready under this attempt, according to
  /// heartbeats that are up to `age_s` seconds old.
  void on_ready_claim(const std::string& controller, const JobSpec& spec, uint32_t number,
                      uint64_t attempt, double age_s);

  /// Turns the rules off and keeps the measurements, for controllers without support for replicas.
  void skip_rules() { skips_rules_ = true; }
  /// Measurements so far of all replicas that were whole and then lost a part.
  struct Figures {
    std::vector<double> whole_again_s;     // seconds until all parts ran under one attempt again
    std::vector<double> complete_again_s;  // seconds until all parts ran again, under any attempts
    double partial_s = 0;  // total time of replicas with some parts present but not whole
    size_t not_whole = 0;  // replicas that haven't become whole again
  };
  Figures figures() const;

  /// The number of replicas of the job with all parts running under one attempt.
  uint32_t whole(const JobSpec& spec) const;
  /// The number of claims that were checked.
  int claims() const { return claims_; }
  /// The number of repairs of the job, and the duration of the longest one in seconds. A repair
  /// ends when a replica that lost a part is whole again.
  int repairs(const std::string& job) const;
  double longest_repair_s(const std::string& job) const;

 private:
  struct Part {
    std::string machine;
    double present_until = 0;  // infinite while the part is present
  };
  using Attempt = std::map<uint32_t, Part>;      // each task's last part in this attempt
  using Key = std::pair<std::string, uint32_t>;  // job id and replica number
  struct Replica {
    std::map<uint64_t, Attempt> attempts;
    double broken_since = -1;   // time of the loss of a part; negative if whole, or never whole
    bool complete = false;      // all parts are present, under any attempts
    double partial_since = -1;  // start of the partial state after a loss; negative if not partial
    uint64_t claimed_attempt = 0;  // the newest attempt that was claimed to be ready
  };
  struct Repairs {
    int count = 0;
    double longest_s = 0;
  };
  static bool is_whole(const Attempt& attempt, uint32_t parts);
  void check_start(const Replica& replica, const JobSpec& spec, const TaskId& task,
                   uint64_t attempt, const std::string& machine);
  // Updates the measurements of a replica that was whole before, after the start or end of a part.
  void measure(Replica& replica, const JobSpec& spec, bool whole);

  World& world_;
  OnViolation on_violation_;
  std::map<Key, Replica> replicas_;
  std::map<std::string, Repairs> repairs_;
  int claims_ = 0;
  bool skips_rules_ = false;
  Figures figures_;
};

}  // namespace damsonport::simulation
