/// Compares what controllers claim of replicas of several parts with what their parts truly did.
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

class ReplicaChecker {
 public:
  using OnViolation = std::function<void(const std::string& rule, const std::string& what)>;
  ReplicaChecker(World& world, OnViolation on_violation)
      : world_(world), on_violation_(std::move(on_violation)) {}

  /// A part is on its machine from now on, until it leaves.
  void on_part_started(const JobSpec& spec, const TaskId& task, uint64_t attempt,
                       const std::string& machine);
  void on_part_left(const JobSpec& spec, const TaskId& task, const std::string& machine);
  /// A controller claims that the replica is ready under this attempt, by heartbeats up to `age_s`
  /// seconds old.
  void on_ready_claim(const std::string& controller, const JobSpec& spec, uint32_t number,
                      uint64_t attempt, double age_s);

  /// Checks no rules from now on: for controllers that don't know of replicas.
  void skip_rules() { skips_rules_ = true; }
  /// Over all replicas that were whole and lost a part, until now.
  struct Figures {
    std::vector<double> whole_again_s;     // until all parts ran under one attempt again
    std::vector<double> complete_again_s;  // until all parts ran, under whatever attempts
    double partial_s = 0;                  // replicas' time with some parts there, and not whole
    size_t not_whole = 0;                  // replicas that are not whole again
  };
  Figures figures() const;

  /// Replicas of the job all of whose parts run under one attempt.
  uint32_t whole(const JobSpec& spec) const;
  /// Claims that were checked.
  int claims() const { return claims_; }
  /// Replicas of the job that were whole again after they had lost a part, and the longest time
  /// that this took, in seconds.
  int repairs(const std::string& job) const;
  double longest_repair_s(const std::string& job) const;

 private:
  struct Part {
    std::string machine;
    double present_until = 0;  // infinite: it is still there
  };
  using Attempt = std::map<uint32_t, Part>;      // by task: the last that was there
  using Key = std::pair<std::string, uint32_t>;  // job, number
  struct Replica {
    std::map<uint64_t, Attempt> attempts;
    double broken_since = -1;      // it was whole before; negative: it is whole, or never was
    bool complete = false;         // all parts are there, under whatever attempts
    double partial_since = -1;     // broken, with some part present; negative: it isn't
    uint64_t claimed_attempt = 0;  // the newest that was claimed to be ready
  };
  struct Repairs {
    int count = 0;
    double longest_s = 0;
  };
  static bool is_whole(const Attempt& attempt, uint32_t parts);
  void check_start(const Replica& replica, const JobSpec& spec, const TaskId& task,
                   uint64_t attempt, const std::string& machine);
  // Notes what a part that came or left means for a replica that was whole before.
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
