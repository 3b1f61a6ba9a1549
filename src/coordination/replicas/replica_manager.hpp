/// Management of replicas of several parts by the shard leader: tracks their states, and decides
/// which replicas are repaired now and which are moved off draining machines. States follow from
/// the records and heartbeats. The rest of the state here is lost when the process ends, which only
/// delays repairs and moves.
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

/// State and readiness of one replica. Users don't see them: the response to a status request is
/// made from the records alone (api/job_status.hpp). The replica manager logs changes of the state.
struct ReplicaStatus {
  std::string job;
  uint32_t number = 0;  ///< index within the job, from 0
  ReplicaState state = ReplicaState::queued;
  Readiness readiness;
  TaskRangeSummary record;
};

/// Owned by the shard leader, and called only between its suspension points. Starts no coroutines.
class ReplicaManager {
 public:
  /// A replica of a job in the record cache; valid until the next change of the records.
  struct Replica {
    const Job* job;
    TaskRange parts;
  };

  ReplicaManager(Loop& loop, const Settings& settings, RecordCache& cache,
                 const TaskStateProvider& task_states, GangTracker& gangs)
      : loop_(loop), settings_(settings), cache_(cache), task_states_(task_states), gangs_(gangs) {}

  /// Starts a shard lease: removes all replicas.
  void clear();
  /// Starts to manage the job's replicas; does nothing unless they have several parts.
  void add_job(const Job& job);
  /// Stops managing the job's replicas.
  void forget_job(const std::string& job);

  /// Records that a part of the attempt has ended. An attempt that failed delays the next one.
  void note_exit(const Job& job, TaskRange replica, uint64_t attempt, ExitCause cause);
  /// Updates the state of every replica, and logs changes of state. Returns true if some replica
  /// waits for repair, whose turn may come without any other event.
  [[nodiscard]] bool update_states();
  /// Chooses ready replicas on draining machines to be moved. The caller must stop them now, so
  /// that they are started on other machines. At most as many replicas of a class are moved at a
  /// time as its policy allows; a replica counts as moved until it is ready again.
  [[nodiscard]] std::vector<Replica> start_moves();
  /// Some managed job has replicas of several parts.
  bool has_replicas() const { return !replicas_.empty(); }
  /// Machines to probe because the newest known state of their parts is too old to prove readiness.
  /// That happens if heartbeats arrive on a new connection each time, since such a heartbeat may
  /// have been delayed.
  std::set<std::string> machines_to_probe() const;
  /// Grants turns to replicas that wait for repair. Returns the jobs with such replicas.
  std::set<std::string> grant_repair_turns();
  /// Whether the replica, or its missing parts, may be started now. True unless the replica waits
  /// for repair and has no turn.
  bool may_start(const Job& job, TaskRange replica) const;

  /// The current status of all replicas.
  std::vector<ReplicaStatus> statuses();
  /// Maximum age of a heartbeat that proves readiness, in seconds.
  double readiness_max_age_s() const;

 private:
  struct ReplicaId {
    std::string job;
    uint32_t number;
    auto operator<=>(const ReplicaId&) const = default;
  };
  // Times at which the stages of a repair ended, in seconds on the steady clock; empty if the stage
  // has not ended yet.
  struct RepairTimes {
    double last_ready_as_of = 0;  // valid only if `detected` is set
    std::optional<double> detected, terminated, placed;
  };
  struct History {
    ReplicaState state = ReplicaState::queued;
    uint64_t attempt = 0;
    double ready_since = 0;  // last time at which the replica became ready
    double ready_as_of = 0;  // last time for which readiness was proven
    RepairTimes repair;
    int failures = 0;             // consecutive attempts that ended with an error
    uint64_t failed_attempt = 0;  // last failed attempt; attempts count from 1
    bool moving = false;          // stopped to be moved, and not ready again yet
    RepairCandidate turn;
  };

  // Replicas of one class that need repair.
  struct ClassRepairs {
    const ReplicaPolicy* policy = nullptr;
    size_t under_repair = 0;
    std::vector<History*> pending;
  };

  // Chooses the pending replicas that have a turn now, and revokes the turns of the others.
  void assign_turns(const ClassRepairs& repairs);
  Readiness readiness_of(const Job& job, TaskRange replica) const;
  ReplicaStatus status_of(const Job& job, uint32_t number);
  // Updates one replica's history. Returns true if the replica waits for repair.
  bool update_state(const Job& job, uint32_t number, History& history);
  void note_state(const ReplicaId& replica_id, History& history, const ReplicaStatus& status);
  void log_ready(const ReplicaId& replica_id, const History& history,
                 const Readiness& readiness) const;
  bool on_draining_machine(const Job& job, TaskRange replica) const;

  Loop& loop_;
  const Settings& settings_;
  RecordCache& cache_;
  const TaskStateProvider& task_states_;
  GangTracker& gangs_;
  std::map<ReplicaId, History> replicas_;
  std::set<ReplicaId> unready_;  // keys in replicas_ that are not ready
};

}  // namespace damsonport::replicas
