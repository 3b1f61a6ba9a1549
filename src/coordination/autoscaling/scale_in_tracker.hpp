/// How far each machine that is to be given back to the cloud has come: a pure state machine
/// without I/O, time or randomness. ScaleIn carries the steps out.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace damsonport {

/// Where a machine stands on its way back to the cloud.
enum class ScaleInState : uint8_t {
  retained,   ///< in service; the record only carries flags of an earlier or unfinished return
  requested,  ///< to be returned: next its tombstone is written, then the cloud is asked
  returned,   ///< the cloud has confirmed it: the machine is gone, with everything on it
};

/// Why a machine is returned, as far as it changes how.
enum class ScaleInCause : uint8_t {
  policy,                ///< idle, drained, failed, not booting: nothing is special about it
  declared_dead,         ///< only for missed heartbeats: kept if heard before the tombstone
  keeps_cancelled_task,  ///< goes first, and in a store outage without a tombstone
};

/// The record of every machine that was requested since the lease began.
///
/// Invariants: `returned` is final within a lease, and a returned machine is neither declared dead
/// nor kept for a cancelled task by the request that returned it. The flags are independent of the
/// state: a machine that is heard again becomes `retained` while the cloud is still being asked for
/// its return or while its tombstone is still to be written. Whether the tombstone is written is
/// known by the records (RecordCache), not here.
///
/// All lists are in the order of the machine ids. Owned and changed by ScaleIn.
class ScaleInTracker {
 public:
  using Predicate = std::function<bool(const std::string& machine)>;

  /// Forgets everything: a new lease begins.
  void clear();

  /// Takes note of a request. True: it is a new one. A machine that is requested already or that
  /// was returned is not requested again; `cause` is noted all the same.
  bool request(const std::string& machine, ScaleInCause cause);
  /// A heartbeat of the machine came. True: it was to be returned only because it was declared
  /// dead, nothing of that is written (`has_tombstone`), and it is retained.
  bool note_heartbeat(const std::string& machine, bool has_tombstone);

  /// The cloud is being asked for the return, or no longer is.
  void begin_return_call(const std::string& machine);
  void end_return_call(const std::string& machine);
  /// The cloud is asked although no tombstone could be written; it is made up for later.
  void defer_tombstone(const std::string& machine);
  void note_tombstone_written(const std::string& machine);
  /// The cloud has confirmed the return. True: the machine had been declared dead.
  bool confirm_return(const std::string& machine);

  [[nodiscard]] bool is_requested(const std::string& machine) const;
  [[nodiscard]] bool is_returned(const std::string& machine) const;
  [[nodiscard]] bool is_declared_dead(const std::string& machine) const;
  [[nodiscard]] bool keeps_cancelled_task(const std::string& machine) const;
  /// Any machine at all keeps a cancelled task.
  [[nodiscard]] bool any_keeps_cancelled_task() const { return keeping_cancelled_tasks_ > 0; }

  /// Requested machines for which no call to the cloud is under way.
  /// `only_with_cancelled_task`: of those only the ones that keep a cancelled task.
  enum class Selection : uint8_t { all, only_with_cancelled_task };
  [[nodiscard]] std::vector<std::string> ready_for_return(Selection selection) const;
  /// Returned in an outage; at most `limit` of them.
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
  // Counts over records_, so that a tick in which nothing is to be done costs nothing.
  size_t requested_ = 0;
  size_t keeping_cancelled_tasks_ = 0;
  size_t awaiting_tombstones_ = 0;
};

}  // namespace damsonport
