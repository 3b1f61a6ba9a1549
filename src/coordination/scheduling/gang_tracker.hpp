/// Tracks the shard leader's observations of the current attempts of gangs, and derives the next
/// action for each gang.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "config/settings.hpp"
#include "coordination/scheduling/gangs.hpp"
#include "coordination/scheduling/task_state_provider.hpp"
#include "transport/loop.hpp"

namespace damsonport {

/// The proven end of one task of a gang.
struct GangTaskExit {
  uint64_t attempt = 0;
  ExitCause cause = ExitCause::none;
  bool stopped = false;  ///< a stop of the task had been decided before
  std::string machine;
};

/// Owned by the shard leader and called on its event loop. The observations are kept in memory
/// only. After a failover an attempt that could have continued may be abandoned. Where tasks of the
/// attempt have ended is learned again from heartbeats: a worker lists an exit until this leader
/// removes it, and exits that it no longer lists under a fencing token of this leader's lease can't
/// be reported to this leader any more.
class GangTracker {
 public:
  /// All references have to outlive the tracker.
  GangTracker(Loop& loop, const Settings& settings, const TaskStateProvider& task_states)
      : loop_(loop), settings_(settings), task_states_(task_states) {}

  /// Forgets all jobs.
  void clear() { attempts_.clear(); }
  void forget_job(const std::string& job);

  /// Has to be called before this leader commits a new attempt of the gang.
  void note_attempt_started(const Job& job, TaskRange gang, uint64_t attempt);
  /// A task of this attempt was seen running or saving its state. For a replica: all its parts were
  /// running at the same time.
  void note_running(const Job& job, TaskRange gang, uint64_t attempt);
  /// A task of the gang is proven to have ended.
  void note_exit(const Job& job, TaskRange gang, const GangTaskExit& exit);
  /// The machine reports the end of a task of this attempt, which may have been committed earlier.
  void note_ended_on(const Job& job, TaskRange gang, uint64_t attempt, const std::string& machine);
  /// The machine of a part doesn't have the part, and no command for the part is under way. If the
  /// replica may have been ready, the attempt is broken.
  void note_task_missing(const Job& job, TaskRange gang, uint64_t attempt);
  /// The machine that was chosen for a missing task is excluded by may_place(), so the attempt is
  /// broken.
  void note_not_replaceable(const Job& job, TaskRange gang, uint64_t attempt);

  /// Whether a task may be started on the machine under this attempt. False if a task of the
  /// attempt has ended there: messages about that end, which may arrive late, would look like
  /// messages about the new start.
  [[nodiscard]] bool may_place(const Job& job, TaskRange gang, uint64_t attempt,
                               const std::string& machine);

  /// The current status of the gang. Each call also starts or resets the measurement of
  /// GangStatus::incomplete_s.
  [[nodiscard]] GangStatus status(const Job& job, TaskRange gang);
  /// The action that the gang needs now. Calls status().
  [[nodiscard]] GangAction next_action(const Job& job, TaskRange gang);
  /// Number of tasks of the gang that may be started now. Calls status().
  [[nodiscard]] uint32_t count_startable(const Job& job, TaskRange gang);

 private:
  /// Observations of the current attempt of a gang.
  struct AttemptState {
    uint64_t attempt = 0;            // 0: no live task
    bool has_run = false;            // note_running() was called, perhaps by an earlier leader
    bool broken = false;             // a task ended because of the others, failed, or was stopped
    int failures = 0;                // tasks that ended with an error
    std::set<std::string> ended_on;  // machines on which a task of the attempt has ended
    std::optional<double> incomplete_since;  // steady time, seconds; unset: no task missing
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
