/// What a shard leader has observed of the current attempts of gangs, and what follows from it.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "config/settings.hpp"
#include "coordination/scheduling/gangs.hpp"
#include "coordination/scheduling/task_state_provider.hpp"
#include "transport/loop.hpp"

namespace damsonport {

/// Owned and called by the shard leader, on its event loop. The observations are lost with the
/// process: after a failover an attempt may be abandoned that could have gone on, and nothing else.
class GangTracker {
 public:
  /// All references have to outlive the tracker.
  GangTracker(Loop& loop, const Settings& settings, const TaskStateProvider& task_states)
      : loop_(loop), settings_(settings), task_states_(task_states) {}

  void clear() { attempts_.clear(); }
  void forget_job(const std::string& job);

  /// This leader is about to commit a new attempt of the gang.
  void note_attempt_started(const Job& job, TaskRange gang, uint64_t attempt);
  /// A task of this attempt was seen running or saving its state; of a replica, all parts at once.
  void note_running(const Job& job, TaskRange gang, uint64_t attempt);
  /// A task of this attempt is proven gone. `stopped`: it was told to stop.
  void note_exit(const Job& job, TaskRange gang, uint64_t attempt, ExitCause cause, bool stopped);
  /// The machine of a part doesn't have it, and no command for it is under way. Where the replica
  /// may have been ready, that ends the attempt.
  void note_task_missing(const Job& job, TaskRange gang, uint64_t attempt);

  /// Also starts or ends the time for which the gang counts as incomplete.
  [[nodiscard]] GangStatus status(const Job& job, TaskRange gang);
  [[nodiscard]] GangAction next_action(const Job& job, TaskRange gang);
  /// How many of its tasks may be started now.
  [[nodiscard]] uint32_t count_startable(const Job& job, TaskRange gang);

 private:
  struct AttemptState {
    uint64_t attempt = 0;  // 0: no task is live
    bool has_run = false;  // see note_running(); also where an earlier leader may have seen it
    bool broken = false;   // some task ended because of the others, failed, or was stopped
    int failures = 0;      // tasks that ended with an error
    std::optional<double> incomplete_since;  // monotonic, seconds; none: no task is missing
  };
  using Key = std::pair<std::string, uint32_t>;  // job, first task
  AttemptState& attempt_state(const Job& job, TaskRange gang);
  [[nodiscard]] double update_incomplete_s(AttemptState& state, bool incomplete) const;
  [[nodiscard]] double replacement_timeout_s() const;
  [[nodiscard]] bool all_machines_reported(const Job& job, TaskRange gang) const;
  [[nodiscard]] GangAction action_for(const Job& job, TaskRange gang,
                                      const GangStatus& status) const;

  Loop& loop_;
  const Settings& settings_;
  const TaskStateProvider& task_states_;
  std::map<Key, AttemptState> attempts_;
};

}  // namespace damsonport
