// Recognizes a worker's report that says what its last one said. Most reports do, and one that is
// recognized need not be decoded and compared with the records again.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace damsonport {

class HeartbeatDeduplicator {
 public:
  // The last report of this machine that left nothing to do, as it came. It is not remembered where
  // its sequence number isn't found in it.
  void remember(const std::string& machine, const std::string& body, uint64_t sequence);
  // What is expected of the machine has changed, or another message of it was taken.
  void forget(const std::string& machine);
  void clear();

  struct Repeat {
    const std::string& machine;
    uint64_t sequence;
  };
  // A report equal to a remembered one in every byte but those of its sequence number.
  std::optional<Repeat> find(const std::string& body) const;
  size_t size() const { return machine_of_.size(); }

 private:
  // By the report with its sequence number masked.
  std::unordered_map<std::string, std::string> machine_of_;
  std::unordered_map<std::string, const std::string*> report_of_;  // by machine: the key above
};

}  // namespace damsonport
