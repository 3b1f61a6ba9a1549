// How long ago this controller reached the state service.
#pragma once
#include "config/settings.hpp"
#include "storage/key_value_client.hpp"

namespace damsonport {

class StoreContact {
 public:
  StoreContact(Loop& loop, const Settings& settings, const KeyValueClient& store)
      : loop_(loop), settings_(settings), store_(store) {}
  double age_s() const { return store_.contact_age_s(); }
  // The state service counts as reached for so long.
  double limit_s() const { return settings_.lease_s * lease_share; }
  bool in_contact() const { return age_s() < limit_s(); }

 private:
  static constexpr double lease_share = 0.25;
  Loop& loop_;
  const Settings& settings_;
  const KeyValueClient& store_;
};

}  // namespace damsonport
