// Cancellations that controllers tell one another of, past the state service. Stopping a cancelled
// job's tasks needs no proof, so a word of mouth is enough for it; and as of when each controller
// has said all it knows bounds how old a cancellation can be that is unknown here (docs/design.md,
// "Who may answer a machine"). Time is passed in: the steady clock of this machine alone.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/peer_heartbeat.hpp"

namespace damsonport {

class CancellationGossip {
 public:
  CancellationGossip(uint64_t incarnation, const std::vector<std::string>& peers);

  // Known here, from before anybody is told of it until the records say that its tasks are gone.
  // `since`: when it was cancelled, or earlier. True the first time.
  bool record(const std::string& job, double since);
  void forget(const std::string& job);

  // All that is known here, with when each was cancelled, or earlier.
  std::vector<std::pair<std::string, double>> known() const;

  // What a heartbeat to this peer says beside the rest.
  void add_to(PeerHeartbeat& heartbeat, const std::string& peer, double now) const;
  struct Merged {
    std::vector<std::string> fresh;  // jobs heard of for the first time
    // A part of a longer list has come, or was taken by the peer: the next one follows the next
    // heartbeat, so that should not wait for its time.
    bool answer_at_once = false;
  };
  Merged merge(const PeerHeartbeat& heartbeat, double now);

  // When the job was cancelled, as others say, or earlier.
  std::optional<double> received(const std::string& job) const;
  bool is_cancelled(const std::string& job) const { return received_.contains(job); }
  // Every cancellation that another controller told anyone before this time is known here. Without
  // peers, `now`.
  double watermark(double now) const;
  // The records are known as of then, and speak for all that was heard before.
  void forget_received_before(double records_as_of);

 private:
  static constexpr double never = -1e9;
  struct Peer {
    uint64_t incarnation = 0, have = 0;         // its cancellations that have come
    uint64_t stamp_incarnation = 0, stamp = 0;  // for the echo
    uint64_t has = 0;                           // ours that it has
    double watermark = never;
    bool ever = false;
  };
  struct Received {
    double since, at;
  };
  uint64_t incarnation_, last_ = 0;
  std::map<uint64_t, std::pair<std::string, double>> known_;  // by serial
  std::unordered_map<std::string, uint64_t> serial_;
  std::map<std::string, Peer> peers_;
  std::unordered_map<std::string, Received> received_;
};

}  // namespace damsonport
