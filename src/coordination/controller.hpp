/// One controller of the fleet: its components, its HTTP routes and its background tasks.
#pragma once
#include "coordination/api/user_api.hpp"
#include "coordination/shard_leader/shard_leader.hpp"
#include "storage/record_watcher.hpp"

namespace damsonport {

/// Builds the components of a controller, connects them, and runs them on one event loop.
///
/// Every component is owned by the controller as a member; the members are declared in the order
/// of their dependencies, so that each outlives those that refer to it. Each background task that
/// start() spawns belongs to one component and alone writes that component's state, except for
/// what request handlers and the callbacks of connect_callbacks() change. All of it runs on the
/// loop's thread. The loop, the network and the settings have to outlive the controller, and the
/// controller has to outlive the run of the loop.
class Controller {
 public:
  /// `regions`: among which the teams' limits are divided; null where there is one region only.
  Controller(Loop& loop, Network& network, const Settings& settings,
             const RegionSettings* regions = nullptr);

  /// Listens, and starts the background tasks. False when an address can't be listened on; the
  /// reason is logged, and nothing has been started.
  bool start();
  /// The status of replicas of several parts, where this controller leads their shard.
  std::vector<replicas::ReplicaStatus> replica_statuses() {
    return shard_leader_.replica_statuses();
  }
  /// The TCP port of the HTTP server, valid after start().
  uint16_t port() const { return server_->port(); }

 private:
  void connect_callbacks();
  bool listen();
  void start_background_tasks();
  Task<HttpResponse> handle(HttpRequest request);
  Task<HttpResponse> dispatch(HttpRequest request);
  HttpResponse health() const;
  size_t max_idle_connections() const;
  double wanted_writes() const;
  PeerHeartbeat next_heartbeat() const;
  void divide_store_limits();
  Task<void> run_housekeeping(std::stop_token stop_token);

  Loop& loop_;
  const Settings& settings_;
  uint64_t incarnation_;  // of this run of the program
  std::unique_ptr<HttpClient> http_;
  KeyValueClient store_;
  Notification changed_;  // wakes the shard leader
  RecordCache cache_;
  RecordWatcher record_watcher_;
  MachineTypeCatalog catalog_;
  CancellationGossip cancellations_;
  PeerNetwork peer_network_;
  VersionRegistry versions_;
  ExitForwarder exit_forwarder_;
  quotas::TeamQuotas quotas_;
  quotas::RegionNetwork regions_;
  Election election_;
  ShardLeader shard_leader_;
  UserApi api_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace damsonport
