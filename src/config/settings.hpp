/// The settings file that the platform hands over, and the operators' own optional file. The names
/// in the file stand in quotes behind the fields.
#pragma once
#include <string>
#include <vector>

#include "config/replica_settings.hpp"
#include "config/state_limits.hpp"
#include "config/tuning.hpp"
#include "protocol/result.hpp"
#include "transport/http.hpp"

namespace damsonport {

/// Another controller of the region ("known").
struct Peer {
  std::string name;  ///< "node_name"
  std::string zone;  ///< "location"
  Endpoint address;  ///< "endpoint": where it listens to other controllers
};

/// One team's quotas; a maximum of 0 means that the team gets none.
struct TeamSettings {
  std::string name;  ///< "name"
  /// "cpus", "gpus": guaranteed CPUs and accelerators; "cpus_max", "gpus_max": the limits.
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
  /// Of the limit, what other regions keep for their share of the guaranteed quota.
  double cpus_elsewhere = 0, gpus_elsewhere = 0;
};

/// What is expected of a class of jobs.
struct Objective {
  std::string kind;       ///< "kind": wait, deadline, guarantee, or one not known here
  std::string job_class;  ///< "class"
  double within_s = 0;    ///< "within_s", s; 0 where the file leaves it out
};

/// All settings of one controller; they don't change while it runs.
struct Settings {
  std::string controller_name, zone;  ///< "node_name", "location"
  /// "listen": for users, workers and health checks; "mesh_addr": for the other controllers.
  Endpoint listen, peer_listen;
  std::vector<Peer> peers;  ///< "known"
  Endpoint cloud, state;    ///< "endpoints.cloud", "endpoints.state": the key-value store

  // In the table "deployment".
  int controller_count = 1;           ///< "initial_size": controllers of the region, this one too
  double clock_off_s = 0;             ///< "clock_off_ms": bound of the error of the time of day, s
  std::vector<std::string> zones;     ///< "zones"
  std::vector<TeamSettings> teams;    ///< "teams"
  std::vector<Objective> objectives;  ///< "objectives"
  /// "workers.report_s": interval of the workers' heartbeats; "workers.lease_s": duration of a
  /// worker's lease; "workers.cancel_s": for the tasks of a cancelled job to end. In seconds.
  double heartbeat_interval_s = 0, lease_s = 0, cancel_s = 0;
  /// "workers.gang_wait_s": how long a gang's task waits for the others; "workers.gang_peer_s": how
  /// soon it notices that one is gone. In seconds.
  double gang_wait_s = 0, gang_peer_s = 0;
  StateLimitSettings state_limits;  ///< "state"
  /// "cloud.rps": requests per second; "cloud.list_lag_s": of the machine list, s.
  double cloud_rps = 0, list_lag_s = 0;
  int max_sockets = 0;  ///< "resources.max_sockets"

  Tuning tuning;             ///< from the operators' own file
  ReplicaSettings replicas;  ///< from the operators' file of replicas

  /// The team of this name; null where the settings don't name it.
  const TeamSettings* team(const std::string& name) const;
  /// Within how many seconds tasks of this class should start; 0: not stated.
  double start_objective_s(const std::string& job_class) const {
    return objective_s("wait", job_class);
  }
  /// Within how many seconds work objective_s a guaranteed quota should start; 0: not stated.
  double guarantee_objective_s() const { return objective_s("guarantee", {}); }

 private:
  double objective_s(const std::string& kind, const std::string& job_class) const;
};

/// The error has all problems, each with its line and field.
Result<Settings> parse_settings(const std::string& toml_text);
/// Reads the settings file, and the operators' file beside it: the same path with the ending .sexp,
/// if there is one. Each problem names its file.
Result<Settings> load_settings(const std::string& path);

}  // namespace damsonport
