/// Settings of a controller, read from the platform's settings file and from the operators'
/// optional file. The comment of each field quotes the field's name in the settings file.
#pragma once
#include <string>
#include <vector>

#include "config/replica_settings.hpp"
#include "config/state_limits.hpp"
#include "config/tuning.hpp"
#include "protocol/result.hpp"
#include "transport/http.hpp"

namespace damsonport {

/// Another controller of the same region ("known").
struct Peer {
  std::string name;  ///< "node_name"
  std::string zone;  ///< "location"
  Endpoint address;  ///< "endpoint": listens for other controllers
};

/// One team's guaranteed quota and limits. A limit of 0 means that there is no limit.
struct TeamSettings {
  std::string name;  ///< "name"
  /// "cpus", "gpus": guaranteed CPUs and accelerators; "cpus_max", "gpus_max": the limits.
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
  /// CPUs and accelerators of the limit that other regions keep as their shares of the guaranteed
  /// quota. Not in the file: see quotas::set_guarantees_elsewhere().
  double cpus_elsewhere = 0, gpus_elsewhere = 0;
};

/// A service level objective for a class of jobs.
struct Objective {
  std::string kind;       ///< "kind": wait, deadline, guarantee, or an unknown kind
  std::string job_class;  ///< "class"
  double within_s = 0;    ///< "within_s", s; 0 if the file omits it
};

/// All settings of one controller; constant while the process runs.
struct Settings {
  std::string controller_name, zone;  ///< "node_name", "location"
  /// "listen": for users, workers and health checks; "mesh_addr": for the other controllers.
  Endpoint listen, peer_listen;
  std::vector<Peer> peers;  ///< "known"
  Endpoint cloud, state;    ///< "endpoints.cloud", "endpoints.state": the key-value store

  // Fields of the table "deployment".
  int controller_count = 1;           ///< "initial_size": controllers of the region, with this one
  double clock_off_s = 0;             ///< "clock_off_ms": maximum error of the time of day, s
  std::vector<std::string> zones;     ///< "zones"
  std::vector<TeamSettings> teams;    ///< "teams"
  std::vector<Objective> objectives;  ///< "objectives"
  /// In seconds. "workers.report_s": interval of the workers' heartbeats; "workers.lease_s":
  /// duration of a worker's lease; "workers.cancel_s": time within which the tasks of a cancelled
  /// job must end.
  double heartbeat_interval_s = 0, lease_s = 0, cancel_s = 0;
  /// In seconds. "workers.gang_wait_s": how long a task of a gang waits for the other tasks;
  /// "workers.gang_peer_s": time within which a task notices the loss of another one.
  double gang_wait_s = 0, gang_peer_s = 0;
  StateLimitSettings state_limits;  ///< "state"
  /// "cloud.rps": requests per second; "cloud.list_lag_s": maximum delay of the machine list, s.
  double cloud_rps = 0, list_lag_s = 0;
  int max_sockets = 0;  ///< "resources.max_sockets"

  Tuning tuning;             ///< from the operators' own file
  ReplicaSettings replicas;  ///< from the operators' replicas file

  /// The team with this name; null if the settings don't list the team.
  const TeamSettings* team(const std::string& name) const;
  /// Time within which tasks of this class should start, in seconds; 0: no objective.
  double start_objective_s(const std::string& job_class) const {
    return objective_s("wait", job_class);
  }
  /// Time within which work within a guaranteed quota should start, in seconds; 0: no objective.
  double guarantee_objective_s() const { return objective_s("guarantee", {}); }

 private:
  // "within_s" of the first objective of this kind and class; 0 if there is none.
  double objective_s(const std::string& kind, const std::string& job_class) const;
};

/// Parses a settings file. The error lists all problems, each with its line and field.
Result<Settings> parse_settings(const std::string& toml_text);
/// Reads the settings file and, if it exists, the operators' file: the same path with the extension
/// .sexp. Each problem names its file.
Result<Settings> load_settings(const std::string& path);

}  // namespace damsonport
