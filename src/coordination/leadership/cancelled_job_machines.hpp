/// Merges what the records of several controllers say about the machines of one cancelled job.
///
/// A start is conditional on its job not being cancelled. So from a cancellation on, the machines
/// that the records list for the job only become fewer: a machine that a controller stops listing
/// has proven the end of the job's tasks, and never gets another one. Statements that arrive late
/// or twice, or of an earlier process of a controller, change nothing about that.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/peer_heartbeat.hpp"

namespace damsonport {

/// Owned by the CancellationGossip, one for each job.
class CancelledJobMachines {
 public:
  /// Notes a peer's statement about the job. `source` names the process that made it. A statement
  /// that was sent before another one of the same process is ignored. Returns whether listed()
  /// changed.
  bool note(const std::string& source, uint64_t sent_ms, const PeerHeartbeat::JobMachines& stated);
  /// Notes what this controller's own records list. A complete list holds every start that was
  /// committed before the cancellation, so it releases all other machines, whoever listed them.
  /// Returns whether listed() changed.
  bool note_own_records(const PeerHeartbeat::JobMachines& listed);
  /// The job has ended: releases the machines listed so far. Returns whether listed() changed.
  bool release_all();
  /// Whether any controller has made a statement.
  bool any_statement() const { return !statements_.empty(); }
  /// Whether some controller's records show that the job's tasks on the machine have ended.
  bool is_released(const std::string& machine) const { return released_.contains(machine); }
  /// The machines that some controller lists and none has seen released, in alphabetical order.
  std::vector<std::string> listed() const;

 private:
  struct Statement {
    uint64_t sent_ms = 0;  // on the clock of its source
    std::set<std::string> machines;
  };
  std::map<std::string, Statement> statements_;  // the newest one of each source
  std::set<std::string> released_;
};

}  // namespace damsonport
