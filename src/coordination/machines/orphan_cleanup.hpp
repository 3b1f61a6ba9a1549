/// Cleanup of orphaned tasks: where no shard leader can be told of a cancellation, every controller
/// that knows of it stops the job's tasks on the machines itself.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "coordination/leadership/peer_network.hpp"
#include "coordination/leadership/store_contact.hpp"
#include "coordination/machines/machine_list_reader.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Run by the maintenance coroutine of a controller that does not lead the shard.
class OrphanCleanup {
 public:
  /// `max_concurrent_requests`: the most requests to workers at once.
  OrphanCleanup(Loop& loop, const Settings& settings, RecordCache& cache, HttpClient& http,
                PeerNetwork& peer_network, const CancellationGossip& cancellations,
                const StoreContact& contact, MachineListReader& machine_list,
                int max_concurrent_requests);

  /// Asks each machine that may run a cancelled task, stops such tasks under the fencing token of
  /// the shard leader in the records, and returns the machine to the cloud if it doesn't answer.
  /// Nothing is committed, and no exit is proven by it. Does nothing while a shard leader can be
  /// reached, and at most once in a heartbeat interval.
  Task<void> run_once(std::stop_token stop_token);

 private:
  // A machine that may run cancelled tasks.
  struct OrphanMachine {
    std::string id, address;
    std::vector<std::pair<TaskId, uint64_t>> tasks;
    bool is_unreachable = false;
  };
  bool no_shard_leader_reachable() const;
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
  double next_check_at_ = 0;
};

}  // namespace damsonport
