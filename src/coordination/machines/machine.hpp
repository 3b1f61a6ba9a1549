// What a holder knows of its machines: hints from reports, lost with the process.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace damsonport {

using AttemptKey = std::pair<TaskId, uint64_t>;

// Images on a machine, by the order of use, as the workers are said to keep them.
class ImageCache {
 public:
  void used(const std::string& image, double gb, double now, double cache_gb);
  bool holds(const std::string& image) const { return images_.contains(image); }
  const std::map<std::string, std::pair<double, double>>& images() const { return images_; }
  void clear() { images_.clear(); }

 private:
  std::map<std::string, std::pair<double, double>> images_;  // -> (last use, GB)
};

// The paper's Algorithm 1 for one machine.
struct StragglerAverage {
  double average = 1.0;
  int updates = 0;
  bool flagged = false;
};

struct Machine {
  std::string id, address, type, zone;
  bool spot = false;
  std::optional<size_t> slot;  // its place in what placement sees
  // Newest message taken from the worker.
  uint64_t agent_epoch = 0, sequence = 0, fencing_token = 0;
  double first_heartbeat_at = 0;
  double last_heartbeat_at = 0;     // the last report
  double last_direct = 0;           // the last answer to a direct message, which renews no lease
  std::optional<double> notice_at;  // steady time when the cloud takes it
  std::map<TaskId, TaskStatus> tasks;

  // Start orders that may yet reach the worker in this session under our term.
  std::set<AttemptKey> in_flight;  // in a direct message that is not answered yet
  std::set<AttemptKey> in_limbo;   // in a direct message that never was: it may come any time
  std::set<AttemptKey> in_answer;  // in the answer to the last report
  std::vector<Command> outbox;
  bool sending = false;
  int failed_sends = 0;

  ImageCache images;
  std::map<std::string, double> fetching;  // image -> since
  StragglerAverage straggler;
  double replacing_since = 0;  // a persistent straggler: a replacement is sought first
  bool replacement_asked = false;
  bool replaces = false;                      // it came for one such
  std::map<std::string, double> failed_jobs;  // jobs whose tasks ended in error here, and when
  bool draining = false;                      // takes no new tasks
  double failing_since = 0;                   // drained because tasks failed here; 0: not for that
  std::string drain_why;
  int lost_epochs = 0;
  // `tasks` was so at this time or later; 0: it isn't known how late the messages came.
  double state_as_of = 0;
  double idle_since = 0;
  // When a report that only repeated the last one came after it; 0: none did.
  double repeated_at = 0;

  bool start_outstanding(const AttemptKey& key) const {
    return in_flight.contains(key) || in_limbo.contains(key) || in_answer.contains(key);
  }
};

// Takes a worker's message if it is newer than what is known. False: an old copy, to be ignored.
// `direct`: it came as the answer to a message of ours.
// `as_of`: it was made at this time or later, as its connection or our own question says; 0: it may
// have been held up for any time.
bool apply_heartbeat(Machine& m, const Heartbeat& r, double now, bool direct, double as_of = 0);

}  // namespace damsonport
