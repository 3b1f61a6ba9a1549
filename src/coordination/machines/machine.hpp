/// What the shard leader knows of a machine from its heartbeats. Nothing of it is stored: a new
/// shard leader learns it anew.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace damsonport {

/// One attempt of a task.
using AttemptKey = std::pair<TaskId, uint64_t>;

/// The images on a machine: a model of the workers' cache, which drops the least recently used
/// ones.
class ImageCache {
 public:
  /// The image, of this size, was used at this time. Others are dropped until all fit into
  /// `cache_gb`.
  void used(const std::string& image, double gb, double now, double cache_gb);
  bool holds(const std::string& image) const { return images_.contains(image); }
  const std::map<std::string, std::pair<double, double>>& images() const { return images_; }
  void clear() { images_.clear(); }

 private:
  std::map<std::string, std::pair<double, double>> images_;  // -> (last use, GB)
};

/// State of the straggler detection for one machine (straggler.hpp).
struct StragglerAverage {
  double average = 1.0;
  int updates = 0;
  bool flagged = false;
};

/// Written by the shard leader's handlers of heartbeats and command responses, and by its
/// maintenance coroutine. Times are seconds of the loop's clock; 0 stands for never.
struct Machine {
  std::string id, address, type, zone;
  bool spot = false;
  std::optional<size_t> snapshot_index;  ///< its index in SchedulerSnapshot::machines
  // Of the newest message that was processed.
  uint64_t agent_epoch = 0, sequence = 0, fencing_token = 0;
  double first_heartbeat_at = 0;
  double last_heartbeat_at = 0;
  double last_direct_response_at = 0;  ///< to a request of this controller; renews no lease
  std::optional<double> preempted_at;  ///< when the cloud will take it, as it has announced
  std::map<TaskId, TaskStatus> tasks;

  // Start commands of this lease that may still reach the worker in its present epoch.
  std::set<AttemptKey> in_flight;           ///< in a request that is not answered yet
  std::set<AttemptKey> in_limbo;            ///< in a request that failed: may arrive any time
  std::set<AttemptKey> starts_in_response;  ///< in the response to the last heartbeat
  std::vector<Command> outbox;              ///< for the next request to the worker
  bool sending = false;                     ///< a request is queued or under way
  int failed_sends = 0;                     ///< requests without response since the last response

  ImageCache images;
  std::map<std::string, double> fetching;  ///< image -> since
  StragglerAverage straggler;
  double straggler_since = 0;          ///< when it was found to be one; replaced, then drained
  bool replacement_requested = false;  ///< of the autoscaler, for this straggler
  bool is_replacement = false;         ///< it came for a straggler
  std::map<std::string, double> failed_jobs;  ///< jobs whose tasks ended in error here, and when
  bool draining = false;                      ///< takes no new tasks, returned when empty
  double faulty_since = 0;                    ///< drained because tasks failed here
  std::string drain_reason;                   ///< for the log
  int agent_restarts = 0;                     ///< changes of agent_epoch seen
  double tasks_as_of = 0;                     ///< `tasks` is the state at this time or later
  double idle_since = 0;                      ///< it last had tasks
  double last_repeat_at = 0;  ///< of a heartbeat that repeated the last processed one

  /// A start command of this attempt may still reach the worker.
  [[nodiscard]] bool has_outstanding_start(const AttemptKey& key) const {
    return in_flight.contains(key) || in_limbo.contains(key) || starts_in_response.contains(key);
  }
};

/// Applies a worker's message if it is newer than the last one. False: a late copy, to be ignored.
/// `direct`: it came as the response to a request of this controller, and renews no lease.
/// `as_of`: it was made at this time or later, as its connection or the request shows; 0: it may
/// have been delayed for any time.
[[nodiscard]] bool apply_heartbeat(Machine& m, const Heartbeat& r, double now, bool direct,
                                   double as_of = 0);

}  // namespace damsonport
