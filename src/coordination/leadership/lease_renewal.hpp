// Lease renewal on behalf of another controller: what a node answers to machines that another one
// holds, and whether it may answer any machine at all.
#pragma once
#include <string>
#include <unordered_map>

#include "coordination/leadership/exit_forwarder.hpp"
#include "coordination/leadership/peer_network.hpp"
#include "coordination/leadership/store_contact.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

class LeaseRenewal {
 public:
  LeaseRenewal(Loop& loop, const Settings& settings, RecordCache& cache, PeerNetwork& peer_network,
               const CancellationGossip& cancellations, ExitForwarder& exit_forwarder,
               const StoreContact& contact);

  // A report may be answered with a lease: what this node doesn't know of cancellations is not too
  // old. `first_visit`: the machine comes here for the first time of late.
  bool may_renew(bool first_visit) const;
  // Takes note of the visit; true: the machine was not here lately.
  bool note_visit(const std::string& machine);
  // The answer to a report of a machine that another node holds.
  HttpResponse answer(const Heartbeat& heartbeat);
  // Machines that keep coming here although another node holds them.
  uint64_t misrouted_machines() const;
  void forget_old_visits();
  void clear() { misrouted_.clear(); }

 private:
  // A machine that its holder's answers may not reach.
  struct MisroutedMachine {
    double since = 0, last = 0;
    bool answered = false;  // the last time, so that the next report tries the holder again
  };
  // The newest holder and its term, by the records and the peers; null: nobody holds.
  const ShardLease* recorded_holder() const;
  bool should_answer(const MisroutedMachine& machine, const std::string& shard_leader) const;
  std::vector<Command> stops_of_cancelled(const Heartbeat& heartbeat);
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
