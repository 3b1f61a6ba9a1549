/// Renews workers' leases on behalf of the shard leader: decides how a controller answers misrouted
/// machines, which another controller leads, and whether it may answer any machine at all.
///
/// Usually the answer is a redirect to the shard leader. But if a partition separates a machine
/// from its shard leader, the machine keeps sending its heartbeats here, and without a renewal its
/// tasks would end with its worker's lease. Any controller that knows the fencing tokens of the
/// shard leader's lease from the store may renew that lease: only the shard leader changes records,
/// no start is commanded and no exit is removed here, and missed heartbeats never prove to the
/// shard leader that a task is gone. Tasks of cancelled jobs are stopped, since the shard leader
/// can't do that.
#pragma once
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/leadership/exit_forwarder.hpp"
#include "coordination/leadership/peer_network.hpp"
#include "coordination/leadership/store_contact.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Whether this is the first heartbeat of a machine that this controller remembers, or a later one.
enum class HeartbeatOccurrence : uint8_t { first, repeated };

/// Owned by the ShardLeader, whose HTTP handlers and maintenance coroutine call it.
class LeaseRenewal {
 public:
  /// All references have to outlive the object.
  LeaseRenewal(Loop& loop, const Settings& settings, RecordCache& cache, PeerNetwork& peer_network,
               const CancellationGossip& cancellations, ExitForwarder& exit_forwarder,
               const StoreContact& contact);

  /// Whether the answer to a heartbeat may renew the worker's lease, because no cancellation that
  /// is unknown here can be too old. Used for this controller's own machines as well.
  bool may_renew(HeartbeatOccurrence occurrence) const;
  /// Notes a heartbeat that the machine has sent to this controller.
  HeartbeatOccurrence note_heartbeat(const std::string& machine);
  /// The answer to a heartbeat of a machine that another controller leads.
  HttpResponse answer_misrouted(const Heartbeat& heartbeat);
  /// Number of machines that keep sending heartbeats here although another controller leads them.
  uint64_t misrouted_machines() const;
  /// Forgets the machines that have sent no heartbeat here lately; to be called periodically.
  void forget_old_heartbeats();
  void clear() { misrouted_.clear(); }

 private:
  struct MisroutedMachine {
    double first_heartbeat_at = 0;
    double last_heartbeat_at = 0;
    // Whether the last heartbeat was answered; if so, the next one is redirected.
    bool was_answered = false;
  };
  // The shard lease in the records; null: there is none.
  const ShardLease* recorded_lease() const;
  // The controller with the newest shard lease, by the records and by peers' heartbeats.
  std::string newest_shard_leader(const ShardLease& recorded) const;
  bool may_answer(const Heartbeat& heartbeat, const ShardLease& recorded) const;
  // Whether to answer instead of redirecting to the shard leader.
  bool should_answer(const MisroutedMachine& machine, const std::string& shard_leader) const;
  HttpResponse redirect(MisroutedMachine& machine, const std::string& shard_leader) const;
  HttpResponse renew(MisroutedMachine& machine, const Heartbeat& heartbeat,
                     const ShardLease& recorded, const std::string& shard_leader);
  std::vector<Command> stop_commands_for_cancelled_tasks(const Heartbeat& heartbeat) const;
  void forward_exits(const Heartbeat& heartbeat, uint64_t first_token);

  Loop& loop_;
  const Settings& settings_;
  RecordCache& cache_;
  PeerNetwork& peer_network_;
  const CancellationGossip& cancellations_;
  ExitForwarder& exit_forwarder_;
  const StoreContact& contact_;
  std::unordered_map<std::string, MisroutedMachine> misrouted_;
};

}  // namespace damsonport
