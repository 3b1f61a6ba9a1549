/// Settings of a deployment of one controller on virtual time.
#pragma once
#include "config/settings.hpp"

namespace damsonport::simulation {

inline Settings single_controller_settings() {
  Settings s;
  s.controller_name = "n0", s.zone = "a", s.zones = {"a"}, s.controller_count = 1;
  s.listen = {"10.0.0.1", 8080}, s.peer_listen = {"10.0.0.1", 8081};
  s.cloud = {"10.2.0.2", 8443}, s.state = {"10.2.0.1", 2379};
  s.heartbeat_interval_s = 1.5, s.lease_s = 12, s.cancel_s = 42, s.gang_wait_s = 40,
  s.gang_peer_s = 6;
  const StateLimits limits{150, 50, 16, 12};
  s.state_limits = {limits, limits};
  s.cloud_rps = 5, s.list_lag_s = 4, s.max_sockets = 600;
  return s;
}

}  // namespace damsonport::simulation
