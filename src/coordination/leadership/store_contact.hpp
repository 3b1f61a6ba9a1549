/// Whether this controller is in contact with the key-value store.
#pragma once
#include "config/settings.hpp"
#include "storage/key_value_client.hpp"

namespace damsonport {

class StoreContact {
 public:
  StoreContact(const Settings& settings, const KeyValueClient& store)
      : settings_(settings), store_(store) {}

  /// Seconds after the last answer for which the store counts as reached.
  double limit_s() const { return settings_.lease_s * lease_share; }
  bool in_contact() const { return store_.contact_age_s() < limit_s(); }

 private:
  // Of a worker's lease.
  static constexpr double lease_share = 0.25;
  const Settings& settings_;
  const KeyValueClient& store_;
};

}  // namespace damsonport
