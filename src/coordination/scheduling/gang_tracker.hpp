// What a holder has seen of the present attempts of gangs, and what it concludes. Lost with the
// process: a hint that is wrong costs a try and breaks nothing.
#pragma once
#include <map>
#include <string>
#include <utility>

#include "config/settings.hpp"
#include "coordination/scheduling/gangs.hpp"
#include "coordination/scheduling/task_facts.hpp"
#include "transport/loop.hpp"

namespace damsonport {

class GangTracker {
 public:
  GangTracker(Loop& loop, const Settings& settings, const TaskFacts& facts)
      : loop_(loop), settings_(settings), facts_(facts) {}

  void clear() { hints_.clear(); }
  void forget_job(const std::string& job);

  // A new attempt of the gang is about to be committed by this holder.
  void note_attempt_started(const Job& job, TaskRange gang, uint64_t attempt);
  // A task of this attempt was seen running or saving; of a replica, all parts at the same time.
  void note_running(const Job& job, TaskRange gang, uint64_t attempt);
  // A task of this attempt is proven gone. `stopped`: it was told to.
  void note_exit(const Job& job, TaskRange gang, uint64_t attempt, ExitCause cause, bool stopped);
  // The machine of a part doesn't have it, though no order for it is under way: where the replica
  // may have been ready, that attempt is over.
  void note_task_missing(const Job& job, TaskRange gang, uint64_t attempt);

  GangStatus standing(const Job& job, TaskRange gang);
  GangAction next_action(const Job& job, TaskRange gang);
  // Tasks of it that may be started now.
  uint32_t startable(const Job& job, TaskRange gang);

 private:
  struct Hints {
    uint64_t attempt = 0;
    bool ran = false;     // see note_running(); also where an earlier holder may have seen it
    bool broken = false;  // some task ended because of the others, failed, or was stopped
    int errors = 0;       // tasks that failed
    double incomplete_since = 0;  // 0: no task is missing
  };
  using Key = std::pair<std::string, uint32_t>;  // job, first task
  Hints& hints(const Job& job, TaskRange gang);
  GangAction action_for(const Job& job, TaskRange gang, const GangStatus& standing) const;

  Loop& loop_;
  const Settings& settings_;
  const TaskFacts& facts_;
  std::map<Key, Hints> hints_;
};

}  // namespace damsonport
