/// Which version of the program each controller runs, as recorded in the key-value store.
///
/// During a rolling upgrade old and new controllers serve side by side. What the old version does
/// not understand begins only when every controller has recorded the new one. A record outlives the
/// process that wrote it, so a controller must not be put back to an older version afterwards.
#pragma once
#include "config/settings.hpp"
#include "storage/key_value_client.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

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

  /// Records this controller's version; ends when that is done, or when stopped.
  Task<void> announce(std::stop_token stop_token);
  /// Every controller of the settings has recorded this version or a later one.
  bool all_have_recorded(uint64_t version) const;

 private:
  bool has_recorded(const std::string& controller, uint64_t version) const;
  // False: to be repeated.
  Task<bool> write_current_version();

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
};

}  // namespace damsonport
