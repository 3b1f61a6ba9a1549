// How long ago this controller reached the state service.
#pragma once
#include "protocol/settings.hpp"
#include "storage/state_client.hpp"

namespace damsonport {

class StateContact {
 public:
  StateContact(Loop& loop, const Settings& settings, const StateClient& state)
      : loop_(loop), settings_(settings), state_(state) {}
  double age_s() const { return loop_.now() - state_.last_contact(); }
  // The state service counts as reached for so long.
  double limit_s() const { return settings_.lease_s * lease_share; }
  bool in_contact() const { return age_s() < limit_s(); }

 private:
  static constexpr double lease_share = 0.25;
  Loop& loop_;
  const Settings& settings_;
  const StateClient& state_;
};

}  // namespace damsonport
