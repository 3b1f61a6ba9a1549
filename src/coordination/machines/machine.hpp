/// The shard leader's view of a machine, built from the heartbeats of its worker. The view is kept
/// in memory only: a new shard leader rebuilds it from the next heartbeats.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/machines/fencing_tokens.hpp"
#include "protocol/messages.hpp"

namespace damsonport {

/// Identifies one attempt of a task.
using AttemptKey = std::pair<TaskId, uint64_t>;

/// Model of the image cache on a machine, which evicts the least recently used images.
class ImageCache {
 public:
  /// Records that `image`, of `gb` GB, was used at `now`, and evicts other images until the total
  /// size is at most `cache_gb` GB.
  void note_use(const std::string& image, double gb, double now, double cache_gb);
  bool holds(const std::string& image) const { return images_.contains(image); }
  const std::map<std::string, std::pair<double, double>>& images() const { return images_; }
  void clear() { images_.clear(); }

 private:
  std::map<std::string, std::pair<double, double>> images_;  // by image: time of last use, GB
};

/// State of the straggler detection for one machine (straggler.hpp).
struct StragglerState {
  double average = 1.0;  ///< moving average of the relative speed; 1: as fast as the median
  int updates = 0;       ///< relative speeds added to the average
  bool flagged = false;  ///< result of the last test: the machine is a straggler
};

/// One machine of the fleet. Owned by the shard leader for the duration of one lease; written by
/// its handlers of heartbeats and command responses and by its maintenance coroutine. Times are
/// seconds of the loop's clock; 0 means never.
struct Machine {
  std::string id, address, type, zone;
  bool spot = false;
  std::optional<size_t> snapshot_index;  ///< index in SchedulerSnapshot::machines
  // From the newest processed message of the worker.
  uint64_t agent_epoch = 0, sequence = 0, fencing_token = 0;
  double first_heartbeat_at = 0;
  double last_heartbeat_at = 0;
  double last_direct_response_at = 0;  ///< response to a request; renews no lease
  std::optional<double> preempted_at;  ///< announced time of the preemption
  std::map<TaskId, TaskStatus> tasks;

  /// Exited attempts of tasks of which the worker lists another attempt too, which is in `tasks`.
  std::set<AttemptKey> other_exits;

  // Start commands of this lease that may still reach the worker in its current epoch.
  std::set<AttemptKey> starts_in_flight;    ///< in a request without a response yet
  std::set<AttemptKey> starts_in_response;  ///< in the response to the last heartbeat
  /// Start commands in requests, answered or not, with the fencing token of the request. A copy of
  /// the request may arrive at any time; the worker rejects it once it has learned a higher token.
  std::map<AttemptKey, uint64_t> starts_in_requests;
  uint64_t sent_fencing_token = 0;        ///< the highest one in a message to the worker
  std::vector<Command> pending_commands;  ///< commands of the next request
  bool sending = false;                   ///< a request is queued or in progress
  /// From this many kept exits on the machine gets no new tasks: a quarter of a report of 64 KiB,
  /// at up to 96 bytes an entry.
  static constexpr size_t max_kept_exits = 64 * 1024 / 4 / 96;
  /// Exited attempts whose removal has to wait for a higher fencing token (may_remove()).
  size_t kept_exits = 0;

  /// From this many requests with commands in a row without a response on, the machine gets no new
  /// tasks, and is probed until it answers.
  static constexpr int max_failed_sends = 2;
  int failed_sends = 0;         ///< requests with commands without a response since the last one
  double unanswered_since = 0;  ///< when the first of these requests failed
  /// Probes in a row without a response that were sent while the machine's heartbeats arrived. A
  /// silent machine's probes show no more than its silence.
  int unanswered_probes = 0;
  double unanswered_probe_sent_at = 0;  ///< when the last of them was sent
  /// For this many seconds from `unanswered_since` on, only the answer to a command includes the
  /// machine again.
  double exclusion_s = 0;

  ImageCache images;
  std::map<std::string, double> fetching;  ///< by image: start of the fetch
  StragglerState straggler;
  /// Time at which the machine was found to be a straggler. A straggler is drained once a
  /// replacement has arrived, or if none is available.
  double straggler_since = 0;
  bool replacement_requested = false;  ///< the autoscaler was asked to replace this straggler
  bool is_replacement = false;         ///< replaces a straggler
  /// Jobs whose tasks ended in error here, and jobs with gangs or replicas of which the machine
  /// refused a task; with the time of the failure. Their tasks avoid the machine.
  std::map<std::string, double> failed_jobs;
  bool draining = false;     ///< takes no new tasks and is returned to the cloud when empty
  double faulty_since = 0;   ///< start of the drain because of failed tasks
  std::string drain_reason;  ///< text for the log
  double agent_epoch_changed_at = 0;  ///< last change of agent_epoch in this lease
  double tasks_as_of = 0;             ///< `tasks` is the state at this time or later
  double idle_since = 0;              ///< last time with tasks
  /// Arrival of the last heartbeat that repeated the last processed one.
  double last_repeated_heartbeat_at = 0;

  /// Whether the machine answers requests, as far as is known.
  [[nodiscard]] bool answers_requests() const { return failed_sends < max_failed_sends; }
  /// Whether other signs than the answer to a command include the machine again.
  [[nodiscard]] bool may_be_included(double now) const {
    return now - unanswered_since >= exclusion_s;
  }
  /// Whether the agent can't have been without a response, to a heartbeat of its own, since the
  /// first request failed: without one its epoch ends after `worker_lease_s` seconds. `margin_s`
  /// allows for messages on the way.
  [[nodiscard]] bool receives_responses(double worker_lease_s, double margin_s) const;
  /// Whether a start command of this attempt, or a copy of one, may still reach the worker under a
  /// token that the worker accepts.
  [[nodiscard]] bool has_outstanding_start(const AttemptKey& key) const {
    return starts_in_flight.contains(key) || starts_in_requests.contains(key) ||
           starts_in_response.contains(key);
  }
  /// Whether the worker may forget the exited attempt on a command under this fencing token.
  /// Afterwards a copy of the attempt's start command would begin the attempt again, so the token
  /// must be one that makes the worker reject all copies.
  [[nodiscard]] bool may_remove(const AttemptKey& key, uint64_t fencing_token) const;
  /// Whether the worker lists a task that has not exited.
  [[nodiscard]] bool has_live_tasks() const;
};

/// The fencing token for the next message to the machine, with these commands: the lowest one of
/// the lease that the worker accepts and that allows the removals among the commands. Notes it as
/// sent.
[[nodiscard]] uint64_t take_message_token(Machine& machine, const std::vector<Command>& commands,
                                          const FencingTokens& tokens);

/// Logs at debug that the command is sent under this token; `way` says how.
void log_command(const Command& command, const Machine& machine, uint64_t fencing_token,
                 std::string_view way);

/// Updates the machine from a worker's message. Returns false, without any change, if the message
/// is not newer than the last processed one. `direct`: the message is the response to a request of
/// this controller and renews no lease. `as_of`: earliest time at which the worker can have created
/// the message, known from its connection or from the request; 0 if the delay is unknown.
[[nodiscard]] bool apply_heartbeat(Machine& machine, const Heartbeat& heartbeat, double now,
                                   bool direct, double as_of = 0);

}  // namespace damsonport
