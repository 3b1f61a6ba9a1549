/// Cleanup of orphaned tasks: while no shard leader is reachable, each controller that knows of a
/// job's cancellation stops the job's tasks on the machines itself.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "coordination/leadership/peer_network.hpp"
#include "coordination/leadership/store_contact.hpp"
#include "coordination/machines/machine_list_reader.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Stops tasks of cancelled jobs. Run by the maintenance coroutine of a controller that does not
/// lead the shard, or that can't act as the shard leader yet.
class OrphanCleanup {
 public:
  /// `max_concurrent_requests`: maximum number of machines that are contacted at the same time.
  OrphanCleanup(Loop& loop, const Settings& settings, RecordCache& cache, HttpClient& http,
                PeerNetwork& peer_network, const CancellationGossip& cancellations,
                const StoreContact& contact, MachineListReader& machine_list,
                int max_concurrent_requests);

  /// Requests the status of each machine that may run a task of a cancelled job, stops such tasks
  /// with the fencing token of the latest shard lease in the records, and returns the machine to
  /// the cloud if it doesn't respond. Whether this controller read the cancellation in the records
  /// or received it from a peer makes no difference. Nothing is committed to the records, and no
  /// exit is considered proven. Does nothing while a shard leader is reachable, and runs at most
  /// once per heartbeat interval.
  Task<void> run_once(std::stop_token stop_token);

 private:
  // A machine that may run tasks of cancelled jobs.
  struct OrphanMachine {
    std::string id, address;
    std::set<std::string> cancelled_jobs;
    bool is_unreachable = false;
  };
  bool no_shard_leader_reachable() const;
  // The fencing token of the latest shard lease in the records; 0: none is known.
  uint64_t newest_recorded_token() const;
  bool is_due(const CancellationGossip::Cancellation& cancellation) const;
  // Whether this controller's own records say where the tasks of the cancelled job are.
  bool own_records_count(const CancellationGossip::Cancellation& cancellation) const;
  std::set<std::string> machines_of(const CancellationGossip::Cancellation& cancellation) const;
  std::vector<OrphanMachine> machines_with_orphans() const;
  Task<void> stop_orphans_on(OrphanMachine& machine, uint64_t fencing_token, size_t& remaining);
  Task<void> stop_orphans(std::vector<OrphanMachine>& machines, std::stop_token stop_token);
  Task<void> return_unreachable(const std::vector<OrphanMachine>& machines);

  Loop& loop_;
  const Settings& settings_;
  RecordCache& cache_;
  HttpClient& http_;
  PeerNetwork& peer_network_;
  const CancellationGossip& cancellations_;
  const StoreContact& contact_;
  MachineListReader& machine_list_;
  const size_t max_concurrent_requests_;
  std::set<std::string> returned_;  // machines whose return the cloud has confirmed
  double next_check_at_ = 0;
};

}  // namespace damsonport
