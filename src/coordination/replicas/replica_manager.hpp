/// The shard leader's management of replicas of several parts: their states, which are repaired
/// now, and which are moved off draining machines. States follow from the records and heartbeats;
/// what is kept here beside them is lost with the process, which only delays repairs and moves.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/replicas/repair_policy.hpp"
#include "coordination/replicas/replica_state.hpp"
#include "coordination/scheduling/gang_tracker.hpp"

namespace damsonport::replicas {

/// One replica as the status interface shows it.
struct ReplicaStatus {
  std::string job;
  uint32_t number = 0;  ///< Within the job, from 0.
  ReplicaState state = ReplicaState::queued;
  Readiness readiness;
  TaskRangeSummary record;
};

/// Owned by the shard leader and used between its suspension points; starts no coroutine of its
/// own.
class ReplicaManager {
 public:
  /// A replica of a job in the record cache; not to be kept over a change of the records.
  struct Replica {
    const Job* job;
    TaskRange parts;
  };

  ReplicaManager(Loop& loop, const Settings& settings, RecordCache& cache, const TaskFacts& facts,
                 GangTracker& gangs)
      : loop_(loop), settings_(settings), cache_(cache), facts_(facts), gangs_(gangs) {}

  /// A shard lease begins: forgets all replicas.
  void clear();
  /// Manages the job's replicas from now on; ignored unless they have several parts.
  void add_job(const Job& job);
  void forget_job(const std::string& job);

  /// A part of the attempt has ended. Failures delay the next attempt.
  void note_exit(const Job& job, TaskRange replica, uint64_t attempt, ExitCause cause);
  /// Updates the state of every replica, and logs what has changed. True: some wait for their
  /// repair, whose turn may come with time alone.
  [[nodiscard]] bool update_states();
  /// Ready replicas that the caller has to stop now, to be placed elsewhere: as many as the
  /// class's policy allows to be down for it. They count as down until they are ready again.
  [[nodiscard]] std::vector<Replica> start_moves();
  /// Some job has replicas of several parts.
  bool has_replicas() const { return !replicas_.empty(); }
  /// Machines with parts whose state is too old to prove readiness: heartbeats that come on ever
  /// new connections may be old. They are to be probed.
  std::set<std::string> machines_to_probe() const;
  /// Gives turns to replicas that wait for their repair; returns the jobs concerned.
  std::set<std::string> grant_repair_turns();
  /// The replica, or its missing parts, may be placed now: always, except for a repair without a
  /// turn.
  bool may_start(const Job& job, TaskRange replica) const;

  /// Of all replicas, as of now.
  std::vector<ReplicaStatus> statuses();
  /// Heartbeats older than this, in seconds, prove nothing about readiness.
  double readiness_max_age_s() const;

 private:
  struct ReplicaId {
    std::string job;
    uint32_t number;
    auto operator<=>(const ReplicaId&) const = default;
  };
  // When the stages of a repair began, on the steady clock; empty: not yet.
  struct RepairTimes {
    double last_ready_as_of = 0;  // counts only with detected
    std::optional<double> detected, terminated, placed;
  };
  struct History {
    ReplicaState state = ReplicaState::queued;
    uint64_t attempt = 0;
    double ready_since = 0;  // the last time that it became ready
    double ready_as_of = 0;  // the last time at which it was known to be ready
    RepairTimes repair;
    int failures = 0;             // attempts in a row that ended in errors
    uint64_t failed_attempt = 0;  // the last of them; attempts count from 1
    bool moving = false;          // it was stopped to be moved, and is not ready again yet
    RepairCandidate turn;
  };

  // The replicas of one class that need repair.
  struct ClassRepairs {
    const ReplicaPolicy* policy = nullptr;
    size_t under_repair = 0;
    std::vector<History*> pending;
  };

  void assign_turns(const ClassRepairs& repairs);
  Readiness readiness_of(const Job& job, TaskRange replica) const;
  ReplicaStatus status_of(const Job& job, uint32_t number);
  // True: it waits for its repair.
  bool update_state(const Job& job, uint32_t number, History& history);
  void note_state(const ReplicaId& replica_id, History& history, const ReplicaStatus& status);
  void log_ready(const ReplicaId& replica_id, const History& history,
                 const Readiness& readiness) const;
  bool on_draining_machine(const Job& job, TaskRange replica) const;

  Loop& loop_;
  const Settings& settings_;
  RecordCache& cache_;
  const TaskFacts& facts_;
  GangTracker& gangs_;
  std::map<ReplicaId, History> replicas_;
  std::set<ReplicaId> unready_;  // of replicas_, those that are not ready
};

}  // namespace damsonport::replicas
