/// Determines whether this controller is in contact with the key-value store.
#pragma once
#include "config/settings.hpp"
#include "storage/key_value_client.hpp"

namespace damsonport {

/// Owned by the ShardLeader. The settings and the store client have to outlive it.
class StoreContact {
 public:
  StoreContact(const Settings& settings, const KeyValueClient& store)
      : settings_(settings), store_(store) {}

  /// Seconds for which the store counts as reached after its last answer.
  double limit_s() const { return settings_.lease_s * lease_share; }
  bool in_contact() const { return store_.contact_age_s() < limit_s(); }

 private:
  // Share of a worker's lease.
  static constexpr double lease_share = 0.25;
  const Settings& settings_;
  const KeyValueClient& store_;
};

}  // namespace damsonport
