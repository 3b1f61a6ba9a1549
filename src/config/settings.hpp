// The settings file that the platform hands over, and the operators' own optional file.
#pragma once
#include <string>
#include <vector>

#include "config/replica_settings.hpp"
#include "config/state_limits.hpp"
#include "config/tuning.hpp"
#include "protocol/result.hpp"
#include "transport/http.hpp"

namespace damsonport {

struct Peer {
  std::string name;
  std::string zone;
  Endpoint address;
};

struct TeamSettings {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: none
  // Of the limit, what other regions keep for their share of the guarantee.
  double cpus_elsewhere = 0, gpus_elsewhere = 0;
};

struct Objective {
  std::string kind;  // wait, deadline, guarantee, ...
  std::string job_class;
  double within_s = 0;
};

struct Settings {
  std::string controller_name, zone;
  Endpoint listen, peer_listen;
  std::vector<Peer> peers;
  Endpoint cloud, state;
  int controller_count = 1;
  double clock_off_s = 0;  // the time of day lies within this of the true one
  std::vector<std::string> zones;
  std::vector<TeamSettings> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 0, lease_s = 0, cancel_s = 0;
  // How long a gang's task waits for the others, and how soon it notices that one is gone.
  double gang_wait_s = 0, gang_peer_s = 0;
  StateLimitSettings state_limits;
  double cloud_rps = 0, list_lag_s = 0;
  int max_sockets = 0;
  Tuning tuning;
  ReplicaSettings replicas;

  const TeamSettings* team(const std::string& name) const;
  // Within how many seconds tasks of this class, or work within a guarantee, should start; 0: none
  // is stated.
  double start_within(const std::string& job_class) const { return within("wait", job_class); }
  double guarantee_within() const { return within("guarantee", {}); }

 private:
  double within(const std::string& kind, const std::string& job_class) const;
};

Result<Settings> parse_settings(const std::string& toml_text);
Result<Settings> load_settings(const std::string& path);

}  // namespace damsonport
