// One controller: its parts, its routes and its duties.
#pragma once
#include "coordination/api/user_api.hpp"
#include "coordination/shard_leader/shard_leader.hpp"
#include "storage/record_watcher.hpp"

namespace damsonport {

class Controller {
 public:
  // `regions`: among which the teams' limits are divided; null: there is this region only.
  Controller(Loop& loop, Network& network, const Settings& settings,
             const RegionSettings* regions = nullptr);
  // False when an address can't be had.
  bool start();
  // Replicas of several parts, where this node holds the grant.
  std::vector<replicas::ReplicaStatus> replica_statuses() {
    return shard_leader_.replica_statuses();
  }
  uint16_t port() const { return server_->port(); }

 private:
  Task<HttpResponse> route(HttpRequest request);
  Task<HttpResponse> dispatch(HttpRequest request);
  HttpResponse health() const;
  double wanted_writes() const;
  PeerHeartbeat next_heartbeat() const;
  void share_limits();
  Task<void> housekeeping(std::stop_token stop_token);

  Loop& loop_;
  const Settings& settings_;
  uint64_t incarnation_;
  std::unique_ptr<HttpClient> http_;
  KeyValueClient store_;
  Notification changed_;
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
