/// Scale-in: gives machines back to the cloud, each after its tombstone was written, so that no
/// controller uses it again and a late return does no harm.
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

/// Owned by the shard leader. Requests may come from any of its coroutines; the returns themselves
/// are carried out by its maintenance coroutine alone, through return_machines().
class ScaleIn {
 public:
  struct Dependencies {
    Loop& loop;
    const Settings& settings;
    RecordCache& cache;
    KeyValueClient& store;
    HttpClient& http;
    const StoreContact& contact;
    Notification& changed;  ///< notified when returns were confirmed
    uint64_t incarnation;
    /// Whether this controller still holds the shard lease.
    std::function<bool()> is_leading;
    /// A machine is newly to be returned: it takes no more tasks.
    std::function<void(const std::string& machine)> on_requested;
    /// The cloud has confirmed the return, which proves that every task placed there has ended.
    /// Called once for each machine, after the machine is known as returned.
    std::function<void(const std::string& machine, bool declared_dead)> on_returned;
  };
  explicit ScaleIn(Dependencies dependencies) : deps_(std::move(dependencies)) {}

  /// A lease with this fencing token begins: what is known of an earlier one is forgotten.
  void begin_lease(uint64_t fencing_token);
  /// The lease is over: answers of the cloud to calls under way are ignored. Which machines were
  /// returned stays known, so that late heartbeats of them are refused.
  void end_lease() { fencing_token_ = 0; }

  /// Has the machine returned, unless that was requested before. `reason` is for the log only.
  void request(const std::string& machine, const std::string& reason,
               ScaleInCause cause = ScaleInCause::policy);
  /// The machine has a tombstone already, written by this controller or an earlier shard leader:
  /// the cloud is asked to take it back (again), which is harmless.
  void resume(const std::string& machine);
  /// A heartbeat of the machine was taken: where it was to be returned only for its silence and has
  /// no tombstone yet, it is kept with what runs there.
  void note_heartbeat(const std::string& machine);

  /// Writes tombstones and asks the cloud, for a bounded number of machines; those of the most
  /// urgent tasks first.
  Task<void> return_machines(ScaleInTracker::Selection selection, std::stop_token stop_token);

  /// To be returned, or marked with a tombstone: to be left out of every decision.
  [[nodiscard]] bool is_leaving(const std::string& machine) const {
    return deps_.cache.has_tombstone(machine) || tracker_.is_requested(machine);
  }
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
