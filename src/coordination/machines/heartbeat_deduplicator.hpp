/// Recognises heartbeats of workers that repeat the previous heartbeat. Most heartbeats do, and a
/// recognised one need not be decoded and reconciled with the records again.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace damsonport {

/// Stores the last heartbeat of each machine and compares new ones with it byte by byte.
///
/// Invariant: a heartbeat is stored only if its processing left nothing to do for the machine. The
/// caller must call forget() whenever the desired state of the machine changes.
class HeartbeatDeduplicator {
 public:
  /// Replaces the machine's stored heartbeat by this encoded one. Stores nothing if `sequence`
  /// can't be located in `body` without doubt.
  void remember(const std::string& machine, const std::string& body, uint64_t sequence);
  /// Removes the stored heartbeat: the desired state of the machine has changed, or another message
  /// of its worker was processed.
  void forget(const std::string& machine);
  void clear();

  /// A heartbeat that repeats the stored one. `machine` is valid until the next remember(),
  /// forget() or clear().
  struct Repeat {
    const std::string& machine;
    uint64_t sequence;
  };
  /// Returns the machine and the sequence number of `body` if it equals a stored heartbeat in all
  /// bytes except those of the sequence number.
  [[nodiscard]] std::optional<Repeat> find(const std::string& body) const;
  /// Number of machines with a stored heartbeat.
  [[nodiscard]] size_t size() const { return machine_of_.size(); }

 private:
  // By the heartbeat with a masked sequence number.
  std::unordered_map<std::string, std::string> machine_of_;
  std::unordered_map<std::string, const std::string*>
      heartbeat_of_;  // by machine: key in machine_of_
};

}  // namespace damsonport
