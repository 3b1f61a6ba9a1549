/// Cancellations that the controllers send to each other, beside the key-value store.
///
/// Stopping the tasks of a cancelled job needs no proof, so the message of any controller is enough
/// for it; in an outage of the store no other way exists for a cancellation to spread. Each
/// controller numbers the cancellations that it knows, and its heartbeats to a peer list those that
/// the peer has not acknowledged. From the peers' acknowledgements and echoes follows a watermark:
/// every cancellation that was sent before it is known here, which bounds how old an unknown one
/// can be (docs/design.md, "Who may answer a machine"). Times are passed in, by this machine's
/// steady clock.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/peer_heartbeat.hpp"
#include "storage/steady_time.hpp"

namespace damsonport {

/// Does no I/O itself; PeerNetwork carries the heartbeats.
class CancellationGossip {
 public:
  struct Cancellation {
    std::string job;
    double since = 0;  // steady time of the cancellation, or earlier
  };

  CancellationGossip(uint64_t incarnation, const std::vector<std::string>& peers);

  /// Notes a cancellation that the records or a user's request have made known here. Called before
  /// it is sent to anybody. True the first time.
  bool record(const std::string& job, double since);
  /// The records say that the job's tasks are gone.
  void forget(const std::string& job);
  /// The recorded cancellations that are not forgotten, in the order in which they were recorded.
  std::vector<Cancellation> known() const;

  /// Fills in what a heartbeat to this peer says of cancellations.
  void add_to(PeerHeartbeat& heartbeat, const std::string& peer, double now) const;

  struct MergeResult {
    std::vector<std::string> new_jobs;  // received for the first time
    // A part of a longer list has come, or was acknowledged: the next part follows the next
    // heartbeat, which should therefore be sent now.
    bool reply_at_once = false;
  };
  MergeResult merge(const PeerHeartbeat& heartbeat, double now);

  /// When the job was cancelled, or earlier, as peers say; nothing where none has said so.
  std::optional<double> cancelled_since(const std::string& job) const;
  /// Whether a peer has said that the job is cancelled.
  bool is_cancelled(const std::string& job) const { return received_.contains(job); }
  /// Every cancellation that another controller sent before this time is known here. `now` where
  /// there are no peers, `never` until each of them has echoed a heartbeat.
  double watermark(double now) const;
  /// The records are known as of then, and speak for all that was received before.
  void forget_received_before(double records_as_of);

 private:
  struct Peer {
    bool has_sent = false;
    uint64_t incarnation = 0;
    uint64_t received_upto = 0;      // its cancellations up to this number have come
    uint64_t acknowledged_upto = 0;  // ours, up to this number, have come to it
    // The newest heartbeat of it, to be echoed: its sender's incarnation and clock.
    uint64_t newest_incarnation = 0;
    uint64_t newest_sent_ms = 0;
    double watermark = never;
  };
  struct Received {
    double since;
    double last_received_at;
  };

  // Our clock when the sender had certainly received our heartbeat of that time; nothing when the
  // heartbeat echoes none of this incarnation's.
  std::optional<double> echoed_time(const PeerHeartbeat& heartbeat) const;
  // False for a late heartbeat of an incarnation that was followed by another one.
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
