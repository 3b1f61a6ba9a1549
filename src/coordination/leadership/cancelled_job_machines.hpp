/// Merges what the records of several controllers say about the machines of one cancelled job.
///
/// A start is conditional on its job not being cancelled. So from a cancellation on, the machines
/// that the records list for the job only become fewer: a machine that a controller stops listing
/// has proven the end of the job's tasks, and never gets another one.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/peer_heartbeat.hpp"

namespace damsonport {

/// Owned by the CancellationGossip, one for each job.
class CancelledJobMachines {
 public:
  /// Notes the newest statement of a controller about the job. Statements of one controller have to
  /// be noted in the order in which they were made. Returns whether listed() changed.
  bool note(const std::string& controller, const PeerHeartbeat::JobMachines& stated);
  /// The job has ended: releases the machines listed so far. Returns whether listed() changed.
  bool release_all();
  /// Whether any controller has made a statement.
  bool any_statement() const { return !listed_by_controller_.empty(); }
  /// Whether some controller's records show that the job's tasks on the machine have ended.
  bool is_released(const std::string& machine) const { return released_.contains(machine); }
  /// The machines that some controller lists and none has seen released, in alphabetical order.
  std::vector<std::string> listed() const;

 private:
  std::map<std::string, std::set<std::string>> listed_by_controller_;
  std::set<std::string> released_;
};

}  // namespace damsonport
