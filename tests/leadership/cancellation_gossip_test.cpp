#include "coordination/leadership/cancellation_gossip.hpp"

#include <gtest/gtest.h>

#include "coordination/leadership/peer_network.hpp"
#include "simulation/virtual_network.hpp"
#include "simulation/world.hpp"

namespace damsonport {
namespace {

// A controller with its own steady clock, which differs from the test's time by `clock_offset_s`.
struct GossipPeer {
  std::string name;
  uint64_t incarnation;
  double clock_offset_s;
  CancellationGossip gossip;
  bool loaded = true;
  GossipPeer(std::string own_name, uint64_t own_incarnation, double offset_s,
             const std::vector<std::string>& peers)
      : name(std::move(own_name)),
        incarnation(own_incarnation),
        clock_offset_s(offset_s),
        gossip(own_incarnation, peers) {}
  double clock(double time) const { return time + clock_offset_s; }
  PeerHeartbeat heartbeat(const std::string& to, double time) const {
    PeerHeartbeat message;
    message.controller = name;
    message.incarnation = incarnation;
    message.records_loaded = loaded;
    gossip.add_to(message, to, clock(time));
    return message;
  }
  std::vector<std::string> merge(const PeerHeartbeat& message, double time) {
    return gossip.merge(message, clock(time)).new_jobs;
  }
  // The greatest age of a cancellation that this controller may not know yet.
  double staleness_s(double time) const { return clock(time) - gossip.watermark(clock(time)); }
};

struct PeerPair {
  GossipPeer a{"a", 11, 500, {"b"}};
  GossipPeer b{"b", 22, 9000, {"a"}};
  void exchange(double time) {
    b.merge(a.heartbeat("b", time), time + 0.01);
    a.merge(b.heartbeat("a", time), time + 0.01);
  }
};

TEST(CancellationGossip, ReportsEachCancellationOnceWithItsAge) {
  PeerPair p;
  p.exchange(1);
  p.exchange(2);
  EXPECT_TRUE(p.b.gossip.record("run-1", p.b.clock(1.5)));
  EXPECT_FALSE(p.b.gossip.record("run-1", p.b.clock(2.5)));
  EXPECT_EQ(p.a.merge(p.b.heartbeat("a", 3), 3.01), std::vector<std::string>{"run-1"});
  EXPECT_TRUE(p.a.merge(p.b.heartbeat("a", 3.1), 3.11).empty());
  ASSERT_TRUE(p.a.gossip.cancelled_since("run-1"));
  // The assumed age is at least the true one, and at most one heartbeat and its echo greater.
  EXPECT_LE(*p.a.gossip.cancelled_since("run-1"), p.a.clock(1.5));
  EXPECT_GT(*p.a.gossip.cancelled_since("run-1"), p.a.clock(0));
}

TEST(CancellationGossip, WatermarkFollowsTheEchoedTimeOnly) {
  PeerPair p;
  EXPECT_GT(p.a.staleness_s(1), 1e6);  // no heartbeat received
  p.a.merge(p.b.heartbeat("a", 0.5), 0.51);
  EXPECT_GT(p.a.staleness_s(1), 1e6);  // no echo of a heartbeat of `a` received
  p.exchange(1);
  EXPECT_NEAR(p.a.staleness_s(2.5), 1.5, 0.01);
  // A delayed heartbeat advances the watermark only to the time that it echoes.
  p.exchange(3);
  auto delayed = p.b.heartbeat("a", 3.5);
  p.a.merge(delayed, 60);
  EXPECT_NEAR(p.a.staleness_s(60), 57, 0.01);
}

TEST(CancellationGossip, IncompleteListDoesNotAdvanceTheWatermark) {
  PeerPair p;
  p.exchange(1);
  p.exchange(2);
  // More cancellations than fit into two heartbeats.
  for (int i = 0; i < 2100; ++i) p.b.gossip.record("run-" + std::to_string(i), p.b.clock(2.5));
  p.exchange(3);
  EXPECT_FALSE(p.a.gossip.is_cancelled("run-2099"));
  EXPECT_NEAR(p.a.staleness_s(3), 1, 0.1);  // as before
  for (double t = 4; t < 8; ++t) p.exchange(t);
  EXPECT_TRUE(p.a.gossip.is_cancelled("run-2099"));
  EXPECT_LT(p.a.staleness_s(8), 2.1);
}

// The list in a heartbeat is bounded by what every version of the receiver accepts, also with jobs'
// names of the greatest length.
TEST(CancellationGossip, HeartbeatStaysWithinTheReceiversLimits) {
  PeerPair p;
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

// Many jobs are cancelled at once in an outage of the store. If only one part of the list were sent
// in each heartbeat interval, the list would take seconds, in which the receiver has to assume that
// it doesn't know all cancellations.
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
      auto make_heartbeat = [name, incarnation] {
        PeerHeartbeat message;
        message.controller = name;
        message.incarnation = incarnation;
        message.records_loaded = true;
        return message;
      };
      loop.spawn("peers", peers.send_heartbeats(make_heartbeat, loop.stop_token()));
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
  PeerPair p;
  for (double t = 1; t < 4; ++t) p.exchange(t);
  GossipPeer restarted{"b", 33, 9000, {"a"}};
  restarted.loaded = false;
  for (double t = 10; t < 14; ++t) {
    restarted.merge(p.a.heartbeat("b", t), t + 0.01);
    p.a.merge(restarted.heartbeat("a", t), t + 0.01);
  }
  EXPECT_GT(p.a.staleness_s(14), 10);
  restarted.loaded = true;
  p.a.merge(restarted.heartbeat("a", 14), 14.01);
  EXPECT_LT(p.a.staleness_s(14), 2);
}

TEST(CancellationGossip, RestartedControllerReceivesAllCancellationsAgain) {
  PeerPair p;
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
  EXPECT_LT(restarted.staleness_s(8), 2.1);
}

TEST(CancellationGossip, KeepsReceivedCancellationsUntilTheRecordsCoverThem) {
  PeerPair p;
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

// What all() says of a job; nothing if it doesn't contain the job.
std::optional<CancellationGossip::Cancellation> find(const CancellationGossip& gossip,
                                                     const std::string& job) {
  for (auto& cancellation : gossip.all())
    if (cancellation.job == job) return cancellation;
  return std::nullopt;
}

std::vector<std::string> machines_of(const CancellationGossip& gossip, const std::string& job) {
  const auto cancellation = find(gossip, job);
  return cancellation && cancellation->machines ? cancellation->machines->listed()
                                                : std::vector<std::string>{};
}

TEST(CancellationGossip, PeersLearnTheMachinesOfACancelledJobAndTheirRelease) {
  PeerPair p;
  p.exchange(1);
  p.b.gossip.record("run-1", p.b.clock(1.5));
  p.b.gossip.note_machines("run-1", {true, {"m1", "m2"}});
  p.exchange(2);
  const auto received = find(p.a.gossip, "run-1");
  ASSERT_TRUE(received);
  EXPECT_EQ(received->received_at, p.a.clock(2.01));
  EXPECT_EQ(machines_of(p.a.gossip, "run-1"), (std::vector<std::string>{"m1", "m2"}));
  p.exchange(3);
  EXPECT_TRUE(p.b.heartbeat("a", 3.1).cancelled.empty());
  p.b.gossip.note_machines("run-1", {true, {"m2"}});
  p.exchange(4);
  EXPECT_EQ(machines_of(p.a.gossip, "run-1"), std::vector<std::string>{"m2"});
  p.b.gossip.note_ended("run-1", p.b.clock(4.5));
  p.exchange(5);
  EXPECT_TRUE(machines_of(p.a.gossip, "run-1").empty());
  EXPECT_TRUE(find(p.a.gossip, "run-1")->machines->is_released("m2"));
  p.b.gossip.forget_ended_before(p.b.clock(4.4));
  EXPECT_TRUE(find(p.b.gossip, "run-1"));
  p.b.gossip.forget_ended_before(p.b.clock(4.6));
  EXPECT_FALSE(find(p.b.gossip, "run-1"));
}

// The age bounds the time in which tasks of the job are cleaned up, so neither a long silence
// between the controllers nor a restart may change it much.
TEST(CancellationGossip, AgeOfAReceivedCancellationSurvivesSilenceAndRestart) {
  PeerPair p;
  p.exchange(1);
  p.exchange(2);
  p.b.gossip.record("run-1", p.b.clock(60));
  p.a.merge(p.b.heartbeat("a", 61), 61.01);  // echoes a heartbeat of before the silence
  ASSERT_TRUE(find(p.a.gossip, "run-1"));
  EXPECT_LT(find(p.a.gossip, "run-1")->since, p.a.clock(2));
  EXPECT_NEAR(find(p.a.gossip, "run-1")->latest, p.a.clock(60), 0.02);
  GossipPeer restarted{"a", 12, 500, {"b"}};
  p.b.merge(restarted.heartbeat("b", 110), 110);
  restarted.merge(p.b.heartbeat("a", 110), 110);
  ASSERT_TRUE(find(restarted.gossip, "run-1"));
  EXPECT_NEAR(find(restarted.gossip, "run-1")->latest, restarted.clock(60), 0.02);
}

TEST(CancellationGossip, LateHeartbeatBringsNoMachineBack) {
  PeerPair p;
  p.exchange(1);
  p.b.gossip.record("run-1", p.b.clock(1.5));
  p.b.gossip.note_machines("run-1", {true, {}});
  const auto late = p.b.heartbeat("a", 2);
  p.b.gossip.note_machines("run-1", {true, {"m1"}});
  p.a.merge(p.b.heartbeat("a", 2.5), 2.51);
  p.a.merge(late, 3);
  p.a.merge(p.b.heartbeat("a", 3.5), 3.51);
  EXPECT_EQ(machines_of(p.a.gossip, "run-1"), std::vector<std::string>{"m1"});
}

TEST(CancellationGossip, LateHeartbeatOfAnEarlierProcessReleasesNoMachine) {
  PeerPair p;
  p.b.loaded = false;
  p.exchange(1);
  p.b.gossip.record("run-1", p.b.clock(1.5));
  p.b.gossip.note_machines("run-1", {true, {}});
  const auto late = p.b.heartbeat("a", 2);
  p.b.gossip.note_machines("run-1", {true, {"m1"}});
  p.a.merge(p.b.heartbeat("a", 2.5), 2.51);
  const GossipPeer restarted{"b", 33, 9000, {"a"}};
  p.a.merge(restarted.heartbeat("a", 3), 3.01);
  p.a.merge(late, 3.5);
  EXPECT_EQ(machines_of(p.a.gossip, "run-1"), std::vector<std::string>{"m1"});
}

// A follower may read the start and the end of a task at once, so that it never stated the machine.
TEST(CancellationGossip, OwnRecordsReleaseMachinesThatOnlyPeersHaveListed) {
  PeerPair p;
  p.exchange(1);
  p.b.gossip.record("run-1", p.b.clock(1.5));
  p.b.gossip.note_machines("run-1", {true, {"m1", "m2"}});
  p.a.merge(p.b.heartbeat("a", 2), 2.01);
  p.a.gossip.record("run-1", p.a.clock(1.5));
  p.a.gossip.note_machines("run-1", {false, {}});
  EXPECT_EQ(machines_of(p.a.gossip, "run-1").size(), 2u);
  p.a.gossip.note_machines("run-1", {true, {"m2"}});
  EXPECT_EQ(machines_of(p.a.gossip, "run-1"), std::vector<std::string>{"m2"});
}

// A late copy of a heartbeat must not make a cancellation seem younger than it is.
TEST(CancellationGossip, LateCopyDoesNotChangeTheAge) {
  PeerPair p;
  p.exchange(1);
  p.b.gossip.record("run-1", p.b.clock(1.5));
  const auto copy = p.b.heartbeat("a", 2);
  p.a.merge(copy, 2.01);
  p.a.merge(p.b.heartbeat("a", 3), 3.01);
  p.a.merge(copy, 80);
  ASSERT_TRUE(find(p.a.gossip, "run-1"));
  EXPECT_NEAR(find(p.a.gossip, "run-1")->latest, p.a.clock(1.5), 0.02);
}

// A controller that confirmed a cancellation may end, and may not have reached all others.
TEST(CancellationGossip, ReceivedCancellationIsRelayedUntilTheRecordsCoverIt) {
  GossipPeer a{"a", 11, 500, {"b", "c"}};
  GossipPeer b{"b", 22, 9000, {"a", "c"}};
  GossipPeer c{"c", 33, 70, {"a", "b"}};
  b.gossip.record("run-1", b.clock(1));
  b.gossip.note_machines("run-1", {true, {"m1"}});
  a.merge(b.heartbeat("a", 2), 2.01);
  EXPECT_TRUE(a.heartbeat("c", 3).cancelled.empty());
  a.gossip.relay_received();
  EXPECT_EQ(c.merge(a.heartbeat("c", 3), 3.01), std::vector<std::string>{"run-1"});
  EXPECT_EQ(machines_of(c.gossip, "run-1"), std::vector<std::string>{"m1"});
  ASSERT_TRUE(c.gossip.cancelled_since("run-1"));
  EXPECT_LE(*c.gossip.cancelled_since("run-1"), c.clock(2.02));
  // The records of the relaying controller don't contain the job any more.
  a.gossip.forget_received_before(a.clock(3));
  EXPECT_TRUE(a.heartbeat("c", 4).cancelled.empty());
  EXPECT_FALSE(find(a.gossip, "run-1"));
  // Those of the other one show the cancellation, which then is no longer a relayed one.
  c.gossip.relay_received();
  EXPECT_TRUE(c.gossip.record("run-1", c.clock(1)));
  c.gossip.forget_received_before(c.clock(4));
  EXPECT_EQ(c.heartbeat("a", 5).cancelled.size(), 1u);
}

TEST(CancellationGossip, JobOnVeryManyMachinesFitsAHeartbeat) {
  PeerPair p;
  constexpr int machine_count = 5000;
  std::vector<std::string> machines;
  machines.reserve(machine_count);
  for (int i = 0; i < machine_count; ++i) machines.push_back("machine-" + std::to_string(i));
  p.exchange(1);
  for (int i = 0; i < 20; ++i) {
    const auto id = "run-" + std::to_string(i);
    p.b.gossip.record(id, p.b.clock(1.5));
    p.b.gossip.note_machines(id, {true, machines});
  }
  for (int i = 0; i < 30; ++i) {
    const auto bytes = encode_peer_heartbeat(p.b.heartbeat("a", 2 + i));
    PeerHeartbeat read;
    size_t used = 0;
    ASSERT_EQ(decode_peer_heartbeat(bytes, read, used), FrameStatus::complete);
    p.a.merge(read, 2 + i);
    p.b.merge(p.a.heartbeat("b", 2 + i), 2 + i);
  }
  EXPECT_TRUE(p.a.gossip.is_cancelled("run-19"));
  EXPECT_GT(machines_of(p.a.gossip, "run-19").size(), 100u);
}

}  // namespace
}  // namespace damsonport
