/// Tracks the progress of each machine's return to the cloud: a pure state machine without I/O,
/// time or randomness. ScaleIn executes the steps.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace damsonport {

/// Progress of the return of a machine.
enum class ScaleInState : uint8_t {
  retained,   ///< in service; only flags of an earlier or unfinished return remain
  requested,  ///< return requested; next steps: tombstone, then return call to the cloud
  returned,   ///< return confirmed by the cloud; machine and tasks no longer exist
};

/// Why a machine is returned, where the cause affects how the return proceeds.
enum class ScaleInCause : uint8_t {
  policy,                ///< idle, drained, failed or failed to boot; no special handling
  declared_dead,         ///< missed heartbeats only; retained on a heartbeat before the tombstone
  keeps_cancelled_task,  ///< first in order; in a store outage without a tombstone
};

/// Holds a record of every machine whose return was requested since the lease began.
///
/// Invariants: `returned` is final within a lease, and confirming a return clears the flags that
/// mark the machine as declared dead or as keeping a cancelled task. The flags are independent of
/// the state: a heartbeat can make a machine `retained` while a return call for the machine is in
/// flight or while its tombstone is still to be written. Whether a tombstone is written is known
/// from the RecordCache and not from this class.
///
/// All lists are in the order of the machine ids. ScaleIn owns the tracker and alone changes it.
class ScaleInTracker {
 public:
  using Predicate = std::function<bool(const std::string& machine)>;

  /// Removes all records, because a new lease begins.
  void clear();

  /// Requests the return of a machine. Returns true if the request is new. A machine that is
  /// already requested or returned is not requested again, but `cause` is recorded in any case.
  bool request(const std::string& machine, ScaleInCause cause);
  /// Handles a heartbeat of the machine. Returns true if the machine changes to `retained`: its
  /// return was requested, it was declared dead, and it has no tombstone (`has_tombstone`) yet. In
  /// either case the machine no longer counts as declared dead.
  bool note_heartbeat(const std::string& machine, bool has_tombstone);

  /// Marks the begin and the end of a return call to the cloud for the machine.
  void begin_return_call(const std::string& machine);
  void end_return_call(const std::string& machine);
  /// Records that the return call is sent before a tombstone could be written; the tombstone is to
  /// be written later.
  void defer_tombstone(const std::string& machine);
  /// Records that the deferred tombstone of the machine is written.
  void note_tombstone_written(const std::string& machine);
  /// Records that the cloud confirmed the return. Returns true if the machine was declared dead
  /// before.
  bool confirm_return(const std::string& machine);

  [[nodiscard]] bool is_requested(const std::string& machine) const;
  [[nodiscard]] bool is_returned(const std::string& machine) const;
  [[nodiscard]] bool is_declared_dead(const std::string& machine) const;
  [[nodiscard]] bool keeps_cancelled_task(const std::string& machine) const;
  /// Whether any machine keeps a cancelled task.
  [[nodiscard]] bool any_keeps_cancelled_task() const { return keeping_cancelled_tasks_ > 0; }

  /// The machines that ready_for_return() lists: all, or only those that keep a cancelled task.
  enum class Selection : uint8_t { all, only_with_cancelled_task };
  /// Returns the requested machines for which no return call is in flight.
  [[nodiscard]] std::vector<std::string> ready_for_return(Selection selection) const;
  /// Returns at most `limit` machines whose tombstone was deferred and is not written yet.
  [[nodiscard]] std::vector<std::string> awaiting_tombstone(size_t limit) const;

 private:
  struct Record {
    ScaleInState state = ScaleInState::retained;
    bool declared_dead = false;
    bool keeps_cancelled_task = false;
    bool return_call_in_flight = false;
    bool awaiting_tombstone = false;
  };
  const Record* find(const std::string& machine) const;
  void set_state(Record& record, ScaleInState state);

  std::map<std::string, Record> records_;
  // Counts over records_, so that no call iterates over all records if there is nothing to do.
  size_t requested_ = 0;
  size_t keeping_cancelled_tasks_ = 0;
  size_t awaiting_tombstones_ = 0;
};

}  // namespace damsonport
