/// Lease renewal on behalf of the shard leader: what a controller answers to misrouted machines,
/// which belong to another controller's shard, and whether it may answer any machine at all.
///
/// Usually the answer is the shard leader's name. But where a partition lies between a machine and
/// its shard leader, the machine comes back, and its tasks would end with its worker's lease. Any
/// controller that knows the shard leader's fencing token from the store may renew that lease: only
/// the shard leader changes records, no start is ordered and no exit is removed here, and missed
/// heartbeats never prove to the shard leader that a task is gone. Tasks of cancelled jobs are
/// stopped, since the shard leader can't do it.
#pragma once
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/leadership/exit_forwarder.hpp"
#include "coordination/leadership/peer_network.hpp"
#include "coordination/leadership/store_contact.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Whether a machine has come to this controller lately.
enum class HeartbeatOccurrence : uint8_t { first, repeated };

/// Part of the ShardLeader, whose HTTP handlers and maintenance coroutine call it.
class LeaseRenewal {
 public:
  LeaseRenewal(Loop& loop, const Settings& settings, RecordCache& cache, PeerNetwork& peer_network,
               const CancellationGossip& cancellations, ExitForwarder& exit_forwarder,
               const StoreContact& contact);

  /// Whether a heartbeat may be answered with a lease: cancellations that are unknown here are not
  /// too old. Used for this controller's own machines as well.
  bool may_renew(HeartbeatOccurrence occurrence) const;
  /// Notes that the machine has come here.
  HeartbeatOccurrence note_heartbeat(const std::string& machine);
  /// The answer to a heartbeat of a machine that another controller leads.
  HttpResponse answer_misrouted(const Heartbeat& heartbeat);
  /// Machines that keep coming here although another controller leads them.
  uint64_t misrouted_machines() const;
  void forget_old_heartbeats();
  void clear() { misrouted_.clear(); }

 private:
  struct MisroutedMachine {
    double first_heartbeat_at = 0;
    double last_heartbeat_at = 0;
    bool was_answered = false;  // the last time; the next heartbeat tries the shard leader again
  };
  // The shard leader of this controller's knowledge; null: the records name none.
  const ShardLease* recorded_lease() const;
  std::string newest_shard_leader(const ShardLease& recorded) const;
  bool may_answer(const Heartbeat& heartbeat, const ShardLease& recorded) const;
  bool should_answer(const MisroutedMachine& machine, const std::string& shard_leader) const;
  HttpResponse redirect(MisroutedMachine& machine, const std::string& shard_leader) const;
  HttpResponse renew(MisroutedMachine& machine, const Heartbeat& heartbeat,
                     const ShardLease& recorded, const std::string& shard_leader);
  std::vector<Command> stop_commands_for_cancelled_tasks(const Heartbeat& heartbeat) const;
  void forward_exits(const Heartbeat& heartbeat, uint64_t fencing_token);

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
