/// A controller of the fleet: its components, its HTTP request handling and its background tasks.
#pragma once
#include "coordination/api/malformed_requests.hpp"
#include "coordination/api/routes.hpp"
#include "coordination/api/user_api.hpp"
#include "coordination/shard_leader/shard_leader.hpp"
#include "storage/record_watcher.hpp"

namespace damsonport {

/// Builds the components of a controller, connects them, and runs them on one event loop.
///
/// The controller owns every component as a member. The members are declared in the order of their
/// dependencies, so that each outlives the members that refer to it. Each background task that
/// start() spawns belongs to one component and is the only writer of that component's state, except
/// for the changes by request handlers and by the callbacks of connect_callbacks(). All code runs
/// on the loop's thread. The loop, the network and the settings must outlive the controller, and
/// the controller must outlive the run of the loop.
class Controller {
 public:
  /// `regions`: the regions that share the teams' quota limits; null if there is only one region.
  Controller(Loop& loop, Network& network, const Settings& settings,
             const RegionSettings* regions = nullptr);

  /// Opens the listening sockets and starts the background tasks. If an address can't be listened
  /// on, logs the reason and returns false, without starting any task.
  bool start();
  /// Status of the replicas of several parts that this controller manages as their shard leader.
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
  Task<HttpResponse> dispatch(HttpRequest request, Route route);
  HttpResponse health() const;
  size_t max_idle_connections() const;
  double wanted_writes() const;
  PeerHeartbeat next_heartbeat();
  void note_cancelled(const Job& job);
  // Tells the peers on which machines cancelled jobs have tasks, where that has changed.
  void state_machines_of_cancelled_jobs();
  void divide_store_limits();
  Task<void> run_housekeeping(std::stop_token stop_token);

  Loop& loop_;
  const Settings& settings_;
  uint64_t incarnation_;  // random id of this run of the program
  std::unique_ptr<HttpClient> http_;
  KeyValueClient store_;
  Notification changed_;  // wakes the shard leader
  RecordCache cache_;
  RecordWatcher record_watcher_;
  MachineTypeCatalog catalog_;
  CancellationGossip cancellations_;
  // Cancelled jobs whose records changed since the last heartbeat to the peers.
  std::set<std::string> changed_cancelled_jobs_;
  PeerNetwork peer_network_;
  VersionRegistry versions_;
  ExitForwarder exit_forwarder_;
  quotas::TeamQuotas quotas_;
  quotas::RegionNetwork regions_;
  Election election_;
  ShardLeader shard_leader_;
  UserApi api_;
  MalformedRequests malformed_requests_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace damsonport
