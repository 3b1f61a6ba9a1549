/// Spreads cancellations of jobs between controllers without the key-value store.
///
/// Stopping the tasks of a cancelled job needs no proof, so the message of any controller is enough
/// for it; in an outage of the store no other way exists for a cancellation to spread. Each
/// controller numbers the cancellations that it knows, and its heartbeats to a peer list those that
/// the peer has not acknowledged. The peers' acknowledgements and echoes yield a watermark: every
/// cancellation that was sent before the watermark is known here, which bounds how old an unknown
/// cancellation can be (docs/design.md, "Who may answer a machine"). Callers pass the times, which
/// are seconds of this machine's steady clock.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/peer_heartbeat.hpp"
#include "storage/steady_time.hpp"

namespace damsonport {

/// Owned by the controller, for the life of the process. Does no I/O itself: PeerNetwork sends and
/// receives the heartbeats.
class CancellationGossip {
 public:
  /// A cancelled job and the time of its cancellation.
  struct Cancellation {
    std::string job;
    double since = 0;  // steady time of the cancellation, or earlier
  };

  CancellationGossip(uint64_t incarnation, const std::vector<std::string>& peers);

  /// Notes a cancellation that this controller has learned from the records or from a user's
  /// request, before it is sent to any peer. Returns true the first time. `since`: steady time of
  /// the cancellation, or earlier.
  bool record(const std::string& job, double since);
  /// Forgets the cancellation of a job whose tasks are gone according to the records.
  void forget(const std::string& job);
  /// The recorded cancellations that are not forgotten, in the order in which they were recorded.
  std::vector<Cancellation> known() const;

  /// Fills in the heartbeat's fields about cancellations for this peer.
  void add_to(PeerHeartbeat& heartbeat, const std::string& peer, double now) const;

  /// Result of merge().
  struct MergeResult {
    std::vector<std::string> new_jobs;  // received for the first time
    // A part of a longer list has been received or acknowledged. The next part is only sent after
    // the next heartbeat, which should therefore be sent now.
    bool reply_at_once = false;
  };
  /// Processes a peer's heartbeat; no effect if the sender is not a peer, or if the heartbeat is a
  /// delayed one of an earlier incarnation.
  MergeResult merge(const PeerHeartbeat& heartbeat, double now);

  /// Steady time of the job's cancellation, or earlier, according to peers; nothing if no peer has
  /// reported the job as cancelled.
  std::optional<double> cancelled_since(const std::string& job) const;
  /// Whether a peer has reported the job as cancelled.
  bool is_cancelled(const std::string& job) const { return received_.contains(job); }
  /// Steady time before which every cancellation that another controller sent is known here. `now`
  /// if there are no peers, and `never` until each peer has echoed a heartbeat.
  double watermark(double now) const;
  /// Forgets the cancellations last received before the steady time as of which the records are
  /// known, because the records include them.
  void forget_received_before(double records_as_of);

 private:
  struct Peer {
    bool has_sent = false;
    uint64_t incarnation = 0;
    uint64_t received_upto = 0;      // up to this number the peer's cancellations were received
    uint64_t acknowledged_upto = 0;  // up to this number the peer has received ours
    // Incarnation and clock of the sender in the peer's newest heartbeat, to be echoed.
    uint64_t newest_incarnation = 0;
    uint64_t newest_sent_ms = 0;
    double watermark = never;
  };
  struct Received {
    double since;
    double last_received_at;
  };

  // The send time, by our clock, of the heartbeat of ours that the sender echoes: the sender's
  // heartbeat was sent after this time. Nothing if the echo is of another incarnation.
  std::optional<double> echoed_time(const PeerHeartbeat& heartbeat) const;
  // Resets the numbers if the peer has a new incarnation. Returns false for a late heartbeat of an
  // earlier incarnation.
  static bool follow_incarnation(Peer& peer, const PeerHeartbeat& heartbeat,
                                 std::optional<double> echoed);
  void note_acknowledgement(Peer& peer, const PeerHeartbeat& heartbeat,
                            std::optional<double> echoed) const;
  std::vector<std::string> merge_cancellations(const PeerHeartbeat& heartbeat, double sent_after,
                                               double now);

  const uint64_t incarnation_;
  uint64_t last_number_ = 0;
  std::map<uint64_t, Cancellation> known_;  // by number
  std::unordered_map<std::string, uint64_t> number_by_job_;
  std::map<std::string, Peer> peers_;
  std::unordered_map<std::string, Received> received_;
};

}  // namespace damsonport
