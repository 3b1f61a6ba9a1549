/// Spreads cancellations of jobs between controllers without the key-value store.
///
/// Stopping the tasks of a cancelled job needs no proof, so the message of any controller is enough
/// for it; in an outage of the store no other way exists for a cancellation to spread. Each
/// controller numbers the cancellations that it lists, and its heartbeats to a peer list those that
/// the peer has not acknowledged. The peers' acknowledgements and echoes yield a watermark: every
/// cancellation that was sent before the watermark is known here, which bounds how old an unknown
/// cancellation can be (docs/design.md, "Who may answer a machine").
///
/// With a cancellation a controller states on which machines the job still has tasks. A
/// cancellation gets a new number, and so is listed again, when that changes. Callers pass the
/// times, which are seconds of this machine's steady clock.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/leadership/cancelled_job_machines.hpp"
#include "protocol/peer_heartbeat.hpp"
#include "storage/steady_time.hpp"

namespace damsonport {

/// Owned by the controller, for the life of the process. Does no I/O itself: PeerNetwork sends and
/// receives the heartbeats.
class CancellationGossip {
 public:
  /// A cancelled job, as learned from the records or from peers.
  struct Cancellation {
    std::string job;
    double since = 0;  // steady time of the cancellation, or earlier
    // Steady time of the cancellation if the peer's message took no time on its way; later than the
    // cancellation if it did. Equal to `since` if the records show the cancellation.
    double latest = 0;
    // Steady time at which a peer first reported it; not set if the records show it.
    std::optional<double> received_at;
    // See machines_of().
    const CancelledJobMachines* machines = nullptr;
  };

  CancellationGossip(uint64_t incarnation, const std::vector<std::string>& peers);

  /// Notes a cancellation that this controller has learned from the records or from a user's
  /// request, before it is sent to any peer. Returns true the first time. `since`: steady time of
  /// the cancellation, or earlier.
  bool record(const std::string& job, double since);
  /// Notes to which machines this controller's records assign live tasks of a recorded job.
  void note_machines(const std::string& job, const PeerHeartbeat::JobMachines& in_records);
  /// The tasks of a recorded job are gone according to the records. Peers are told so, also those
  /// that can't read the records.
  void note_ended(const std::string& job, double now);
  /// Forgets the cancellation of a job.
  void forget(const std::string& job);
  /// Forgets the cancellations whose tasks were gone before this steady time.
  void forget_ended_before(double time);
  /// Lists the cancellations that only peers have reported to the peers as well. Needed while this
  /// controller can't reach the key-value store: the controllers that confirmed a cancellation may
  /// have ended, and others may be reachable for this controller only.
  void relay_received();
  /// All cancellations that are not forgotten, whether they were recorded or received from peers.
  std::vector<Cancellation> all() const;

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
  /// The machines with tasks of the job; null if no controller has stated any. Valid until the
  /// gossip changes.
  const CancelledJobMachines* machines_of(const std::string& job) const;
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
    double latest;
    double first_received_at;
    double last_received_at;
  };
  // A cancellation that is listed to peers.
  struct Listed {
    std::string job;
    double since = 0;
    bool is_recorded = false;        // learned from the records; otherwise relayed
    std::optional<double> ended_at;  // the records showed that the job's tasks are gone
  };

  // The send time, by our clock, of the heartbeat of ours that the sender echoes: the sender's
  // heartbeat was sent after this time. Nothing if the echo is of another incarnation.
  std::optional<double> echoed_time(const PeerHeartbeat& heartbeat) const;
  // Resets the numbers if the peer has a new incarnation. Returns false for a late heartbeat of an
  // earlier incarnation.
  static bool follow_incarnation(Peer& peer, const PeerHeartbeat& heartbeat,
                                 std::optional<double> echoed);
  // Whether no heartbeat that the peer sent later was received before.
  static bool is_newest(const Peer& peer, const PeerHeartbeat& heartbeat);
  void note_acknowledgement(Peer& peer, const PeerHeartbeat& heartbeat,
                            std::optional<double> echoed) const;
  std::vector<std::string> merge_cancellations(const PeerHeartbeat& heartbeat, double sent_after,
                                               double now, bool newest);
  void merge_machines(const PeerHeartbeat& heartbeat);
  void list(Listed cancellation);
  // Lists the job's cancellation once more, because its machines have changed.
  void list_again(const std::string& job);
  void stop_listing(const std::string& job);
  // Whether the records show the cancellation, or showed it before the job's end.
  bool is_recorded(const std::string& job) const;
  // The statement about the job's machines for a peer, limited in size.
  std::optional<PeerHeartbeat::JobMachines> statement(const std::string& job) const;

  const uint64_t incarnation_;
  uint64_t last_number_ = 0;
  std::map<uint64_t, Listed> listed_;  // by number
  std::unordered_map<std::string, uint64_t> number_by_job_;
  std::map<std::string, Peer> peers_;
  std::unordered_map<std::string, Received> received_;
  // Of the jobs in `listed_` and `received_`.
  std::unordered_map<std::string, CancelledJobMachines> machines_;
};

}  // namespace damsonport
