/// Recognises heartbeats of workers that repeat the previous one. Most do, and a recognised one
/// need not be decoded and reconciled with the records again.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace damsonport {

/// Invariant: what is remembered of a machine is a heartbeat after which nothing was to be done for
/// it; forget() must be called whenever the desired state of the machine changes. Compares bytes
/// only.
class HeartbeatDeduplicator {
 public:
  /// Remembers the encoded heartbeat in place of the machine's previous one; nothing is remembered
  /// if this sequence number isn't found in it.
  void remember(const std::string& machine, const std::string& body, uint64_t sequence);
  /// The desired state of the machine has changed, or another message of it was processed.
  void forget(const std::string& machine);
  void clear();

  /// A recognised heartbeat. `machine` is valid until the next remember(), forget() or clear().
  struct Repeat {
    const std::string& machine;
    uint64_t sequence;
  };
  /// The remembered heartbeat that equals this one in all bytes but those of the sequence number.
  [[nodiscard]] std::optional<Repeat> find(const std::string& body) const;
  /// Machines of which a heartbeat is remembered.
  [[nodiscard]] size_t size() const { return machine_of_.size(); }

 private:
  // By the heartbeat with its sequence number masked.
  std::unordered_map<std::string, std::string> machine_of_;
  std::unordered_map<std::string, const std::string*> heartbeat_of_;  // by machine: the key above
};

}  // namespace damsonport
