/// Tests of the shard lease with a simulated store: acquisition, renewal, loss to another
/// controller, and stepping down.
#include "coordination/leadership/shard_lease_keeper.hpp"

#include <gtest/gtest.h>

#include "simulation/key_value_store.hpp"
#include "simulation/virtual_network.hpp"
#include "storage/record_watcher.hpp"

namespace damsonport {
namespace {

constexpr uint64_t incarnation = 17;
const std::string store_host = "10.9.0.1";
constexpr StateLimits limits{150, 50, 16, 12};

Settings test_settings() {
  Settings settings;
  settings.controller_name = "n0";
  settings.listen = {"10.0.0.1", 80};
  settings.state = {store_host, 80};
  settings.state_limits = {limits, limits};
  settings.lease_s = 24;
  settings.heartbeat_interval_s = 2;
  settings.peer_listen = {"10.0.0.1", 81};
  settings.peers.resize(1);
  settings.peers.front().name = "n1";
  settings.peers.front().address = {"10.0.0.2", 81};
  return settings;
}

class ShardLeaseKeeperTest : public ::testing::Test {
 protected:
  ShardLeaseKeeperTest() {
    loop_.enter();
    loop_.spawn("cache", watcher_.run(loop_.stop_token()));
    loop_.spawn("election", election_.run(loop_.stop_token()));
  }
  ~ShardLeaseKeeperTest() override { network_.end(); }
  ShardLeaseKeeperTest(const ShardLeaseKeeperTest&) = delete;
  ShardLeaseKeeperTest& operator=(const ShardLeaseKeeperTest&) = delete;

  void run(double seconds) { world_.run_until(world_.now() + seconds); }
  ShardRole renew() {
    std::optional<ShardRole> role;
    loop_.spawn("renewal",
                [](ShardLeaseKeeper& keeper, std::stop_token stop_token,
                   std::optional<ShardRole>& role) -> Task<void> {
                  role = co_await keeper.renew(stop_token);
                }(keeper_, loop_.stop_token(), role));
    run(1);
    EXPECT_TRUE(role.has_value());
    return role.value_or(ShardRole::follower);
  }
  void become_leader() {
    run(5);
    ASSERT_TRUE(election_.is_leading());
    ASSERT_EQ(renew(), ShardRole::leader);
  }
  ShardTable stored_table() const {
    return decode_shard_table(*store_service_.value(keys::shard_table));
  }
  /// Replaces this controller's lease by one of controller `n1`, as `n1` would write it.
  void give_lease_to_other() {
    ShardTable table = stored_table();
    table.leases.front().controller = "n1";
    table.leases.front().incarnation = 18;
    table.leases.front().fencing_token = 5000;
    ++table.renewals;
    store_service_.write(keys::shard_table, encode_shard_table(table));
    run(1);
  }
  void receive_from_peer(uint64_t fencing_token, uint64_t misrouted_machines) {
    PeerHeartbeat heartbeat;
    heartbeat.controller = "n1";
    heartbeat.incarnation = 18;
    heartbeat.records_loaded = true;
    heartbeat.fencing_token = fencing_token;
    heartbeat.misrouted_machines = misrouted_machines;
    streams_.at(settings_.peer_listen.text())(encode_peer_heartbeat(heartbeat));
  }

  simulation::World world_{1};
  Settings settings_ = test_settings();
  simulation::KeyValueStore store_service_{world_, store_host, limits};
  simulation::VirtualLoop loop_{world_, "n0", std::seed_seq{1}, 1, 0};
  simulation::VirtualNetwork::Streams streams_;
  simulation::VirtualNetwork network_{loop_, "10.0.0.1", streams_};
  std::unique_ptr<HttpClient> http_ = network_.client();
  KeyValueClient store_{loop_, *http_, settings_.state, settings_.state_limits};
  RecordCache cache_{loop_, 0, 100};
  RecordWatcher watcher_{loop_, store_, cache_, 0.1};
  Notification changed_{loop_};
  CancellationGossip cancellations_{incarnation, {"n1"}};
  PeerNetwork peer_network_{loop_, network_, settings_, cancellations_};
  Election election_{loop_, settings_, store_, cache_, incarnation, changed_};
  int acquired_ = 0, lost_ = 0, raised_ = 0;
  ShardLeaseKeeper keeper_{
      {loop_, settings_, store_, cache_, election_, peer_network_, incarnation},
      {[this] { ++acquired_; }, [this] { ++lost_; }, [this] { ++raised_; }}};
};

TEST_F(ShardLeaseKeeperTest, AFollowerWritesNothing) {
  EXPECT_EQ(renew(), ShardRole::follower) << "no election yet";
  EXPECT_EQ(keeper_.fencing_token(), 0u);
  EXPECT_EQ(store_service_.value(keys::shard_table), nullptr);
}

TEST_F(ShardLeaseKeeperTest, TheClusterLeaderAcquiresTheLease) {
  become_leader();
  EXPECT_TRUE(keeper_.is_leading());
  EXPECT_TRUE(keeper_.leads_cluster_and_shard());
  EXPECT_TRUE(keeper_.records_current());
  EXPECT_EQ(acquired_, 1);
  ASSERT_EQ(stored_table().leases.size(), 1u);
  EXPECT_EQ(stored_table().leases[0].controller, "n0");
  EXPECT_EQ(stored_table().leases[0].incarnation, incarnation);
  EXPECT_EQ(stored_table().leases[0].fencing_token, keeper_.fencing_token());
  EXPECT_EQ(keeper_.fencing_token(), cache_.leader_version())
      << "the first shard table replaces none, so the token is the leader record's revision";
}

TEST_F(ShardLeaseKeeperTest, ARenewalIsWrittenWhenItIsDueAndKeepsTheToken) {
  become_leader();
  const uint64_t fencing_token = keeper_.fencing_token();
  EXPECT_EQ(renew(), ShardRole::leader);
  EXPECT_EQ(stored_table().renewals, 1u) << "the renewal is not due yet";
  run(settings_.tuning.shard_lease_s / 6);
  EXPECT_EQ(renew(), ShardRole::leader);
  EXPECT_EQ(stored_table().renewals, 2u);
  EXPECT_EQ(keeper_.fencing_token(), fencing_token);
  EXPECT_EQ(acquired_, 1);
}

TEST_F(ShardLeaseKeeperTest, ALeaseTakenByAnotherControllerIsLostAndRetakenWithANewToken) {
  become_leader();
  const uint64_t first_token = keeper_.fencing_token();
  give_lease_to_other();
  EXPECT_FALSE(keeper_.is_leading());
  EXPECT_EQ(keeper_.fencing_token(), first_token)
      << "the token stays until the next renew() finds the lease lost";
  const uint64_t replaced = cache_.shard_table_version();
  EXPECT_EQ(renew(), ShardRole::leader);
  EXPECT_EQ(lost_, 1);
  EXPECT_EQ(acquired_, 2);
  EXPECT_EQ(keeper_.fencing_token(), replaced);
  EXPECT_GT(keeper_.fencing_token(), first_token);
}

TEST_F(ShardLeaseKeeperTest, ARequestedTokenIsRaisedByTheNextRenewalAndKeepsTheLease) {
  become_leader();
  const FencingTokens before = keeper_.tokens();
  const uint64_t replaced = cache_.shard_table_version();
  keeper_.request_higher_token(ShardLeaseKeeper::TokenUrgency::with_next_renewal);
  EXPECT_EQ(renew(), ShardRole::leader);
  EXPECT_EQ(keeper_.tokens().newest, before.newest) << "the renewal is not due yet";
  run(settings_.tuning.shard_lease_s / 6);
  EXPECT_EQ(renew(), ShardRole::leader);
  EXPECT_EQ(keeper_.tokens().first, before.first);
  EXPECT_EQ(keeper_.tokens().newest, replaced);
  EXPECT_EQ(stored_table().leases[0].fencing_token, replaced);
  EXPECT_EQ(stored_table().leases[0].first_fencing_token(), before.first);
  EXPECT_LT(keeper_.tokens().newest, cache_.shard_table_version())
      << "the next lease's token is this revision or a later one";
  EXPECT_EQ(acquired_, 1);
  EXPECT_EQ(raised_, 1);
}

TEST_F(ShardLeaseKeeperTest, AnUrgentlyRequestedTokenIsRaisedBeforeTheRenewalIsDue) {
  become_leader();
  run(settings_.tuning.shard_lease_s / 30);
  keeper_.request_higher_token(ShardLeaseKeeper::TokenUrgency::at_once);
  EXPECT_EQ(renew(), ShardRole::leader);
  EXPECT_EQ(raised_, 1);
}

TEST_F(ShardLeaseKeeperTest, ARaisedTokenOfUnknownOutcomeIsUsedOnlyOnceTheTableIsRead) {
  become_leader();
  const FencingTokens before = keeper_.tokens();
  run(settings_.tuning.shard_lease_s / 6);
  keeper_.request_higher_token(ShardLeaseKeeper::TokenUrgency::with_next_renewal);
  store_service_.set_transaction_fault(simulation::KeyValueStore::TransactionFault::response_lost,
                                       {});
  loop_.spawn("renewal", [](ShardLeaseKeeper& keeper, std::stop_token stop_token) -> Task<void> {
    (void)co_await keeper.renew(stop_token);
  }(keeper_, loop_.stop_token()));
  run(0.5);
  EXPECT_GT(stored_table().leases[0].fencing_token, before.newest);
  EXPECT_EQ(keeper_.tokens().newest, before.newest);
  store_service_.set_transaction_fault(simulation::KeyValueStore::TransactionFault::none, {});
  run(10);
  EXPECT_EQ(renew(), ShardRole::leader);
  EXPECT_EQ(keeper_.tokens().newest, stored_table().leases[0].fencing_token);
  EXPECT_EQ(keeper_.tokens().first, before.first);
  EXPECT_EQ(acquired_, 1);
}

TEST_F(ShardLeaseKeeperTest, TheTokenOfTheNextLeaseIsHigherThanAllRaisedTokens) {
  become_leader();
  for (int n = 0; n < 3; ++n) {
    keeper_.request_higher_token(ShardLeaseKeeper::TokenUrgency::with_next_renewal);
    run(settings_.tuning.shard_lease_s / 6);
    EXPECT_EQ(renew(), ShardRole::leader);
  }
  const uint64_t newest = keeper_.tokens().newest;
  give_lease_to_other();
  EXPECT_EQ(renew(), ShardRole::leader);
  EXPECT_EQ(acquired_, 2);
  EXPECT_GT(keeper_.tokens().first, newest);
}

TEST_F(ShardLeaseKeeperTest, AFailedRenewalIsTriedAgainAfterAPause) {
  become_leader();
  run(settings_.tuning.shard_lease_s / 6);
  store_service_.set_down(true);
  EXPECT_EQ(renew(), ShardRole::leader) << "the shard table still contains the lease";
  store_service_.set_down(false);
  EXPECT_EQ(renew(), ShardRole::leader);
  EXPECT_EQ(stored_table().renewals, 2u);
}

TEST_F(ShardLeaseKeeperTest, APeerWithANewerLeaseDeposesThisOne) {
  become_leader();
  receive_from_peer(keeper_.fencing_token(), 0);
  EXPECT_FALSE(keeper_.is_deposed());
  receive_from_peer(keeper_.fencing_token() + 1, 0);
  EXPECT_TRUE(keeper_.is_deposed());
  EXPECT_FALSE(keeper_.leads_cluster_and_shard());
}

TEST_F(ShardLeaseKeeperTest, StepsDownOnlyAfterMachinesReachAnotherControllerForAWhile) {
  become_leader();
  run(10);  // past the failover
  const double patience_s = settings_.lease_s / 8;
  receive_from_peer(0, 5);
  keeper_.step_down_if_unreachable(4);
  EXPECT_TRUE(election_.is_leading()) << "stepped down without waiting";
  run(patience_s / 2);
  receive_from_peer(0, 5);
  keeper_.step_down_if_unreachable(5);  // as many reach this controller: the wait starts again
  run(patience_s / 2 + 0.1);
  receive_from_peer(0, 5);
  keeper_.step_down_if_unreachable(4);
  EXPECT_TRUE(election_.is_leading());
  run(patience_s + 0.1);
  receive_from_peer(0, 5);
  keeper_.step_down_if_unreachable(4);
  EXPECT_FALSE(election_.is_leading());
}

TEST_F(ShardLeaseKeeperTest, DoesNotStepDownRightAfterTheFailover) {
  become_leader();
  receive_from_peer(0, 5);
  keeper_.step_down_if_unreachable(0);
  run(3);
  receive_from_peer(0, 5);
  keeper_.step_down_if_unreachable(0);
  EXPECT_TRUE(election_.is_leading());
}

}  // namespace
}  // namespace damsonport
