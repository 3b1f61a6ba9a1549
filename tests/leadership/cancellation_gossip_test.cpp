#include "coordination/leadership/cancellation_gossip.hpp"

#include <gtest/gtest.h>

#include "coordination/leadership/peer_network.hpp"
#include "simulation/virtual_network.hpp"
#include "simulation/world.hpp"

namespace damsonport {
namespace {

// A controller with a steady clock of its own.
struct GossipPeer {
  std::string name;
  uint64_t incarnation;
  double clock_off;
  CancellationGossip gossip;
  bool loaded = true;
  GossipPeer(std::string own_name, uint64_t own_incarnation, double off,
             const std::vector<std::string>& peers)
      : name(std::move(own_name)),
        incarnation(own_incarnation),
        clock_off(off),
        gossip(own_incarnation, peers) {}
  double clock(double time) const { return time + clock_off; }
  PeerHeartbeat heartbeat(const std::string& to, double time) const {
    PeerHeartbeat b;
    b.controller = name;
    b.incarnation = incarnation;
    b.records_loaded = loaded;
    gossip.add_to(b, to, clock(time));
    return b;
  }
  std::vector<std::string> merge(const PeerHeartbeat& b, double time) {
    return gossip.merge(b, clock(time)).new_jobs;
  }
  // How old a cancellation can be that is unknown here.
  double staleness(double time) const { return clock(time) - gossip.watermark(clock(time)); }
};

struct Pair {
  GossipPeer a{"a", 11, 500, {"b"}};
  GossipPeer b{"b", 22, 9000, {"a"}};
  void exchange(double time) {
    b.merge(a.heartbeat("b", time), time + 0.01);
    a.merge(b.heartbeat("a", time), time + 0.01);
  }
};

TEST(CancellationGossip, ReportsEachCancellationOnceWithItsAge) {
  Pair p;
  p.exchange(1);
  p.exchange(2);
  EXPECT_TRUE(p.b.gossip.record("run-1", p.b.clock(1.5)));
  EXPECT_FALSE(p.b.gossip.record("run-1", p.b.clock(2.5)));
  EXPECT_EQ(p.a.merge(p.b.heartbeat("a", 3), 3.01), std::vector<std::string>{"run-1"});
  EXPECT_TRUE(p.a.merge(p.b.heartbeat("a", 3.1), 3.11).empty());
  ASSERT_TRUE(p.a.gossip.cancelled_since("run-1"));
  // Never younger than it is, and older by no more than a heartbeat and its echo take.
  EXPECT_LE(*p.a.gossip.cancelled_since("run-1"), p.a.clock(1.5));
  EXPECT_GT(*p.a.gossip.cancelled_since("run-1"), p.a.clock(0));
}

TEST(CancellationGossip, WatermarkFollowsTheEchoedTimeOnly) {
  Pair p;
  EXPECT_GT(p.a.staleness(1), 1e6);  // nothing was ever received
  p.a.merge(p.b.heartbeat("a", 0.5), 0.51);
  EXPECT_GT(p.a.staleness(1), 1e6);  // nothing that echoes a heartbeat of ours
  p.exchange(1);
  EXPECT_NEAR(p.a.staleness(2.5), 1.5, 0.01);
  // A heartbeat that was held up on the way counts from when it must have been sent.
  p.exchange(3);
  auto delayed = p.b.heartbeat("a", 3.5);
  p.a.merge(delayed, 60);
  EXPECT_NEAR(p.a.staleness(60), 57, 0.01);
}

TEST(CancellationGossip, IncompleteListDoesNotAdvanceTheWatermark) {
  Pair p;
  p.exchange(1);
  p.exchange(2);
  // More than fit into two heartbeats.
  for (int i = 0; i < 2100; ++i) p.b.gossip.record("run-" + std::to_string(i), p.b.clock(2.5));
  p.exchange(3);
  EXPECT_FALSE(p.a.gossip.is_cancelled("run-2099"));
  EXPECT_NEAR(p.a.staleness(3), 1, 0.1);  // as before
  for (double t = 4; t < 8; ++t) p.exchange(t);
  EXPECT_TRUE(p.a.gossip.is_cancelled("run-2099"));
  EXPECT_LT(p.a.staleness(8), 2.1);
}

// Longest names: what a heartbeat lists is bounded by what every version reads.
TEST(CancellationGossip, HeartbeatStaysWithinTheReceiversLimits) {
  Pair p;
  constexpr size_t longest_name = 64;
  for (int i = 0; i < 5000; ++i) {
    auto id = "run-" + std::to_string(i);
    if (i % 2 == 0) id.resize(longest_name, 'x');
    p.b.gossip.record(id, p.b.clock(1));
  }
  for (int i = 0; i < 100 && !p.a.gossip.is_cancelled("run-4999"); ++i) {
    const double time = 2 + i;
    const auto bytes = encode_peer_heartbeat(p.b.heartbeat("a", time));
    PeerHeartbeat read;
    size_t used = 0;
    ASSERT_EQ(decode_peer_heartbeat(bytes, read, used), FrameStatus::complete);
    p.a.merge(read, time);
    p.b.merge(p.a.heartbeat("b", time), time);
  }
  EXPECT_TRUE(p.a.gossip.is_cancelled("run-4999"));
}

// Many cancellations at once in an outage: with one part of the list in each heartbeat interval it
// would take seconds, in which a controller must assume that it doesn't know all.
TEST(CancellationGossip, LongListIsSentWithinOneHeartbeatInterval) {
  simulation::World world(1);
  simulation::VirtualNetwork::Streams streams;
  struct Controller {
    Settings settings;
    simulation::VirtualLoop loop;
    simulation::VirtualNetwork network;
    CancellationGossip gossip;
    PeerNetwork peers;
    Controller(simulation::World& world, simulation::VirtualNetwork::Streams& streams,
               const std::string& name, const std::string& host, const std::string& peer,
               const std::string& peer_host, uint64_t incarnation)
        : settings(make_settings(host, peer, peer_host)),
          loop(world, name, {static_cast<unsigned>(incarnation)}, 1, 0),
          network(loop, host, streams),
          gossip(incarnation, {peer}),
          peers(loop, network, settings, gossip) {
      auto beat = [name, incarnation] {
        PeerHeartbeat b;
        b.controller = name;
        b.incarnation = incarnation;
        b.records_loaded = true;
        return b;
      };
      loop.spawn("peers", peers.send_heartbeats(beat, loop.stop_token()));
    }
    static Settings make_settings(const std::string& host, const std::string& peer,
                                  const std::string& peer_host) {
      Settings s;
      s.heartbeat_interval_s = 3;
      s.peer_listen = {host, 8081};
      s.peers.push_back({peer, "a", {peer_host, 8081}});
      return s;
    }
  };
  Controller a(world, streams, "a", "10.0.0.1", "b", "10.0.0.2", 11);
  Controller b(world, streams, "b", "10.0.0.2", "a", "10.0.0.1", 22);
  world.run_until(4);
  for (int i = 0; i < 6000; ++i) b.gossip.record("run-" + std::to_string(i), b.loop.now());
  b.peers.wake();
  world.run_until(5);
  EXPECT_TRUE(a.gossip.is_cancelled("run-5999"));
  a.loop.stop();
  b.loop.stop();
  world.run_until(6);
}

TEST(CancellationGossip, RestartedPeerAdvancesTheWatermarkOnceLoaded) {
  Pair p;
  for (double t = 1; t < 4; ++t) p.exchange(t);
  GossipPeer restarted{"b", 33, 9000, {"a"}};
  restarted.loaded = false;
  for (double t = 10; t < 14; ++t) {
    restarted.merge(p.a.heartbeat("b", t), t + 0.01);
    p.a.merge(restarted.heartbeat("a", t), t + 0.01);
  }
  EXPECT_GT(p.a.staleness(14), 10);
  restarted.loaded = true;
  p.a.merge(restarted.heartbeat("a", 14), 14.01);
  EXPECT_LT(p.a.staleness(14), 2);
}

TEST(CancellationGossip, RestartedControllerReceivesAllCancellationsAgain) {
  Pair p;
  p.exchange(1);
  p.b.gossip.record("run-1", p.b.clock(1));
  for (double t = 2; t < 5; ++t) p.exchange(t);
  ASSERT_TRUE(p.b.heartbeat("a", 5).cancelled.empty());
  GossipPeer restarted{"a", 12, 500, {"b"}};
  for (double t = 5; t < 8; ++t) {
    p.b.merge(restarted.heartbeat("b", t), t + 0.01);
    restarted.merge(p.b.heartbeat("a", t), t + 0.01);
  }
  EXPECT_TRUE(restarted.gossip.is_cancelled("run-1"));
  EXPECT_LT(restarted.staleness(8), 2.1);
}

TEST(CancellationGossip, KeepsReceivedCancellationsUntilTheRecordsCoverThem) {
  Pair p;
  p.exchange(1);
  p.b.gossip.record("run-1", p.b.clock(1));
  p.exchange(2);
  p.a.gossip.forget_received_before(p.a.clock(1.9));
  EXPECT_TRUE(p.a.gossip.is_cancelled("run-1"));
  p.a.gossip.forget_received_before(p.a.clock(2.1));
  EXPECT_FALSE(p.a.gossip.is_cancelled("run-1"));
  p.b.gossip.forget("run-1");
  GossipPeer fresh{"a", 12, 500, {"b"}};
  p.b.merge(fresh.heartbeat("b", 3), 3);
  EXPECT_TRUE(p.b.heartbeat("a", 3.1).cancelled.empty());
}

}  // namespace
}  // namespace damsonport
