// The holder's care for replicas of several parts: their states, which are repaired now, and which
// are moved off machines that are about to go. States follow from the records and reports; what is
// kept here beside them is lost with the process and only delays things.
#pragma once
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/replicas/repair_policy.hpp"
#include "coordination/replicas/replica_state.hpp"
#include "coordination/scheduling/gang_tracker.hpp"

namespace damsonport::replicas {

struct ReplicaStatus {
  std::string job;
  uint32_t number = 0;
  ReplicaState state = ReplicaState::queued;
  Readiness readiness;
  TaskRangeSummary record;
};

class ReplicaManager {
 public:
  struct Replica {
    const Job* job;
    TaskRange parts;
  };

  ReplicaManager(Loop& loop, const Settings& settings, RecordCache& cache, const TaskFacts& facts,
                 GangTracker& gangs)
      : loop_(loop), settings_(settings), cache_(cache), facts_(facts), gangs_(gangs) {}

  // A new term begins.
  void clear();
  // The job is there; nothing happens unless its replicas have several parts.
  void add_job(const Job& job);
  void forget_job(const std::string& job);

  // A part is proven gone.
  void note_exit(const Job& job, TaskRange replica, uint64_t attempt, ExitCause cause);
  // Looks at every replica, and logs what has changed. True: some wait for their repair, whose turn
  // may come with time alone.
  bool review();
  // Ready replicas that are to be stopped now, to be started elsewhere: as many as the class's
  // policy allows to be down for it.
  std::vector<Replica> take_moves();
  // Some job has replicas of several parts.
  bool any() const { return !replicas_.empty(); }
  // Machines with parts of which too little is known for readiness: their reports come on ever new
  // connections, so that they may be old.
  std::set<std::string> machines_to_ask() const;
  // Gives turns to replicas that wait for their repair; yields the jobs concerned.
  std::set<std::string> offer_repairs();
  // The replica may be started now, or its missing parts.
  bool may_start(const Job& job, TaskRange replica) const;

  // As things stand at this moment.
  std::vector<ReplicaStatus> statuses();
  // Messages older than this prove nothing about readiness.
  double max_heartbeat_age_s() const;

 private:
  using Key = std::pair<std::string, uint32_t>;  // job, number
  // When the stages of a repair began, on the steady clock; 0: not yet.
  struct RepairTimes {
    double last_ready_as_of = 0, not_ready = 0, stopping = 0, gone = 0, started = 0;
  };
  struct History {
    ReplicaState state = ReplicaState::queued;
    uint64_t attempt = 0;
    double ready_since = 0;
    double ready_as_of = 0;
    RepairTimes repair;
    int failures = 0;  // attempts in a row that ended in errors
    uint64_t failed_attempt = 0;
    bool moving = false;  // it was stopped to be moved, and is not ready again yet
    RepairCandidate turn;
  };

  Readiness readiness_of(const Job& job, TaskRange replica) const;
  ReplicaStatus judge(const Job& job, uint32_t number);
  // True: it waits for its repair.
  bool update(const Job& job, uint32_t number, History& history);
  void note_state(const Key& key, History& history, const ReplicaStatus& status);
  void log_ready(const Key& key, const History& history, const Readiness& readiness) const;
  bool on_leaving_machine(const Job& job, TaskRange replica) const;

  Loop& loop_;
  const Settings& settings_;
  RecordCache& cache_;
  const TaskFacts& facts_;
  GangTracker& gangs_;
  std::map<Key, History> replicas_;
  std::set<Key> unready_;
};

}  // namespace damsonport::replicas
