/// Records in the key-value store which version of the program each controller runs.
///
/// During a rolling upgrade controllers of the old and the new version run at the same time. A
/// feature that the old version does not understand is used only after every controller has
/// recorded the new version. A record outlives the process that wrote it, so a controller must not
/// be rolled back to an older version afterwards.
#pragma once
#include "config/settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

/// Owned by the controller. One coroutine, announce(), writes this controller's record, which no
/// other controller writes; all_have_recorded() may be called at any time.
class VersionRegistry {
 public:
  /// The first version whose gangs are started, stopped and restarted as a whole.
  static constexpr uint64_t gangs = 1;
  /// The first version that divides the teams' limits among regions.
  static constexpr uint64_t quotas = 2;
  /// The first version that starts and repairs replicas of several parts as a whole.
  static constexpr uint64_t replicas = 3;
  static constexpr uint64_t current = replicas;

  VersionRegistry(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache)
      : loop_(loop), settings_(settings), store_(store), cache_(cache) {}

  /// Records this controller's version; ends when it is recorded, or when stopped.
  Task<void> announce(std::stop_token stop_token);
  /// Whether every controller in the settings has recorded this version or a later one.
  bool all_have_recorded(uint64_t version) const;

 private:
  bool has_recorded(const std::string& controller, uint64_t version) const;
  // Returns false if the write has to be repeated.
  Task<bool> write_current_version();

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
};

}  // namespace damsonport
