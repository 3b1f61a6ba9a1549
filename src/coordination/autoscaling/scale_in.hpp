/// Scale-in: returns machines to the cloud. The tombstone of a machine is written first, so that no
/// controller uses the machine again and a delayed return call does no harm. The only exception is
/// machines that keep a cancelled task during an outage of the key-value store.
#pragma once
#include <functional>
#include <stop_token>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "coordination/autoscaling/scale_in_tracker.hpp"
#include "coordination/leadership/store_contact.hpp"
#include "storage/record_cache.hpp"
#include "transport/http.hpp"
#include "transport/loop.hpp"

namespace damsonport {

/// Returns machines on request. The shard leader owns the object. Any of the leader's coroutines
/// may request a return; only its maintenance coroutine executes the returns, through
/// return_machines().
class ScaleIn {
 public:
  /// Dependencies of ScaleIn. The referenced objects must outlive it.
  struct Dependencies {
    Loop& loop;
    const Settings& settings;
    RecordCache& cache;
    KeyValueClient& store;
    HttpClient& http;
    const StoreContact& contact;
    Notification& changed;  ///< notified after the cloud confirmed returns
    uint64_t incarnation;   ///< of this controller process; part of the tombstones' keys
    /// Whether this controller still holds the shard lease.
    std::function<bool()> is_leading;
    /// Called for each new return that request() records: the machine must get no further tasks.
    std::function<void(const std::string& machine)> on_requested;
    /// Called after the cloud has confirmed the return of a machine, which proves that every task
    /// placed there has ended. The tracker lists the machine as returned by then. Called once per
    /// machine and lease.
    std::function<void(const std::string& machine, bool declared_dead)> on_returned;
  };
  explicit ScaleIn(Dependencies dependencies) : deps_(std::move(dependencies)) {}

  /// Starts a lease with this fencing token: drops all requests of an earlier lease.
  void begin_lease(uint64_t fencing_token);
  /// Ends the lease: replies of the cloud to calls in flight are ignored. The tracker keeps the
  /// list of returned machines, so that their late heartbeats are rejected.
  void end_lease() { fencing_token_ = 0; }

  /// Requests the return of the machine, unless it was requested before. `reason` is only logged;
  /// `cause` determines how the return proceeds.
  void request(const std::string& machine, const std::string& reason,
               ScaleInCause cause = ScaleInCause::policy);
  /// Requests the return of a machine whose tombstone was written before, by this controller or an
  /// earlier shard leader. A repeated return call for the same machine is harmless.
  void resume(const std::string& machine);
  /// Handles a heartbeat of the machine: if its return was requested because it was declared dead,
  /// and it has no tombstone yet, the machine is kept together with its tasks.
  void note_heartbeat(const std::string& machine);

  /// Writes tombstones and sends return calls to the cloud, for a bounded number of machines.
  /// Machines with the most urgent tasks come first.
  Task<void> return_machines(ScaleInTracker::Selection selection, std::stop_token stop_token);

  /// Whether the return of the machine is requested or the machine has a tombstone. Such a machine
  /// must be excluded from every decision.
  [[nodiscard]] bool is_leaving(const std::string& machine) const {
    return deps_.cache.has_tombstone(machine) || tracker_.is_requested(machine);
  }
  /// The state of each return, read-only.
  [[nodiscard]] const ScaleInTracker& tracker() const { return tracker_; }

 private:
  Task<void> write_deferred_tombstones();
  Task<bool> write_tombstones(std::vector<std::string> machines);
  bool defer_tombstones(std::vector<std::string>& machines);
  Task<bool> send_return_call(std::vector<std::string> machines);
  void sort_most_urgent_first(std::vector<std::string>& machines) const;
  size_t max_per_tombstone() const;

  Dependencies deps_;
  uint64_t fencing_token_ = 0;
  ScaleInTracker tracker_;
};

}  // namespace damsonport
