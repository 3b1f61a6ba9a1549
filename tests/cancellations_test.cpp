// What controllers tell one another of cancellations, and who may answer a machine.
#include <gtest/gtest.h>

#include "coordination/leadership/cancellation_gossip.hpp"
#include "coordination/leadership/peer_network.hpp"
#include "coordination/leadership/renewal_policy.hpp"
#include "simulation/virtual_network.hpp"

namespace damsonport {
namespace {

// A controller "a" with its own steady clock, and a heartbeat from one to the other.
struct Side {
  std::string name;
  uint64_t incarnation;
  double clock_off;
  CancellationGossip said;
  bool loaded = true;
  Side(std::string n, uint64_t life, double off, const std::vector<std::string>& peers)
      : name(std::move(n)), incarnation(life), clock_off(off), said(life, peers) {}
  double clock(double time) const { return time + clock_off; }
  PeerHeartbeat heartbeat(const std::string& to, double time) const {
    PeerHeartbeat b;
    b.controller = name, b.incarnation = incarnation, b.loaded = loaded;
    said.add_to(b, to, clock(time));
    return b;
  }
  std::vector<std::string> merge(const PeerHeartbeat& b, double time) {
    return said.merge(b, clock(time)).fresh;
  }
  // How old a cancellation that is unknown here can be.
  double unheard(double time) const { return clock(time) - said.watermark(clock(time)); }
};

struct Pair {
  Side a{"a", 11, 500, {"b"}};
  Side b{"b", 22, 9000, {"a"}};
  void exchange(double time) {
    b.merge(a.heartbeat("b", time), time + 0.01);
    a.merge(b.heartbeat("a", time), time + 0.01);
  }
};

TEST(CancellationGossip, AreHeardOnceAndWithTheirAge) {
  Pair p;
  p.exchange(1);
  p.exchange(2);
  EXPECT_TRUE(p.b.said.record("run-1", p.b.clock(1.5)));
  EXPECT_FALSE(p.b.said.record("run-1", p.b.clock(2.5)));
  EXPECT_EQ(p.a.merge(p.b.heartbeat("a", 3), 3.01), std::vector<std::string>{"run-1"});
  EXPECT_TRUE(p.a.merge(p.b.heartbeat("a", 3.1), 3.11).empty());
  ASSERT_TRUE(p.a.said.received("run-1"));
  // Never younger than it is, and older by no more than the way of a heartbeat and its echo.
  EXPECT_LE(*p.a.said.received("run-1"), p.a.clock(1.5));
  EXPECT_GT(*p.a.said.received("run-1"), p.a.clock(0));
}

TEST(CancellationGossip, CoverUpToWhatWasEchoedAndNoFurther) {
  Pair p;
  EXPECT_GT(p.a.unheard(1), 1e6);  // nothing was ever said
  p.a.merge(p.b.heartbeat("a", 0.5), 0.51);
  EXPECT_GT(p.a.unheard(1), 1e6);  // nothing that was said after a word of ours
  p.exchange(1);
  EXPECT_NEAR(p.a.unheard(2.5), 1.5, 0.01);
  // A heartbeat that was held up on the way counts from when it must have been sent.
  p.exchange(3);
  auto held = p.b.heartbeat("a", 3.5);
  p.a.merge(held, 60);
  EXPECT_NEAR(p.a.unheard(60), 57, 0.01);
}

TEST(CancellationGossip, AnIncompleteListCoversNothing) {
  Pair p;
  p.exchange(1);
  p.exchange(2);
  // More than two heartbeats hold.
  for (int i = 0; i < 2100; ++i) p.b.said.record("run-" + std::to_string(i), p.b.clock(2.5));
  p.exchange(3);
  EXPECT_FALSE(p.a.said.cancelled("run-2099"));
  EXPECT_NEAR(p.a.unheard(3), 1, 0.1);  // as before
  for (double t = 4; t < 8; ++t) p.exchange(t);
  EXPECT_TRUE(p.a.said.cancelled("run-2099"));
  EXPECT_LT(p.a.unheard(8), 2.1);
}

// Longest names: what a heartbeat lists is bounded by what every version reads.
TEST(CancellationGossip, AHeartbeatStaysWithinWhatItsReceiverTakes) {
  Pair p;
  constexpr size_t longest_name = 64;
  for (int i = 0; i < 5000; ++i) {
    auto id = "run-" + std::to_string(i);
    if (i % 2 == 0) id.resize(longest_name, 'x');
    p.b.said.record(id, p.b.clock(1));
  }
  for (int i = 0; i < 100 && !p.a.said.cancelled("run-4999"); ++i) {
    const double time = 2 + i;
    const auto bytes = encode_peer_heartbeat(p.b.heartbeat("a", time));
    PeerHeartbeat read;
    size_t used = 0;
    ASSERT_EQ(decode_peer_heartbeat(bytes, read, used), Framed::whole);
    p.a.merge(read, time);
    p.b.merge(p.a.heartbeat("b", time), time);
  }
  EXPECT_TRUE(p.a.said.cancelled("run-4999"));
}

// A burst in an outage: with one part of the list a heartbeat period it would take seconds, in
// which a controller must assume that it doesn't know all.
TEST(CancellationGossip, ALongListIsToldWithinAHeartbeatPeriod) {
  simulation::World world(1);
  simulation::VirtualNetwork::Streams streams;
  struct Controller {
    Settings settings;
    simulation::VirtualLoop loop;
    simulation::VirtualNetwork network;
    CancellationGossip said;
    PeerNetwork peers;
    Controller(simulation::World& world, simulation::VirtualNetwork::Streams& streams,
               const std::string& name, const std::string& host, const std::string& peer,
               const std::string& peer_host, uint64_t life)
        : settings(make_settings(host, peer, peer_host)),
          loop(world, name, {static_cast<unsigned>(life)}, 1, 0),
          network(loop, host, streams),
          said(life, {peer}),
          peers(loop, network, settings, said) {
      auto beat = [name, life] {
        PeerHeartbeat b;
        b.controller = name, b.incarnation = life, b.loaded = true;
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
  for (int i = 0; i < 6000; ++i) b.said.record("run-" + std::to_string(i), b.loop.now());
  b.peers.wake();
  world.run_until(5);
  EXPECT_TRUE(a.said.cancelled("run-5999"));
  a.loop.stop();
  b.loop.stop();
  world.run_until(6);
}

TEST(CancellationGossip, ABeginnerCoversOnlyOnceItHasReadTheRecords) {
  Pair p;
  for (double t = 1; t < 4; ++t) p.exchange(t);
  Side again{"b", 33, 9000, {"a"}};
  again.loaded = false;
  for (double t = 10; t < 14; ++t) {
    again.merge(p.a.heartbeat("b", t), t + 0.01);
    p.a.merge(again.heartbeat("a", t), t + 0.01);
  }
  EXPECT_GT(p.a.unheard(14), 10);
  again.loaded = true;
  p.a.merge(again.heartbeat("a", 14), 14.01);
  EXPECT_LT(p.a.unheard(14), 2);
}

TEST(CancellationGossip, WhoeverBeganAnewIsToldAllAgain) {
  Pair p;
  p.exchange(1);
  p.b.said.record("run-1", p.b.clock(1));
  for (double t = 2; t < 5; ++t) p.exchange(t);
  ASSERT_TRUE(p.b.heartbeat("a", 5).cancelled.empty());
  Side again{"a", 12, 500, {"b"}};
  for (double t = 5; t < 8; ++t) {
    p.b.merge(again.heartbeat("b", t), t + 0.01);
    again.merge(p.b.heartbeat("a", t), t + 0.01);
  }
  EXPECT_TRUE(again.said.cancelled("run-1"));
  EXPECT_LT(again.unheard(8), 2.1);
}

TEST(CancellationGossip, AreKeptUntilTheRecordsSpeakForThem) {
  Pair p;
  p.exchange(1);
  p.b.said.record("run-1", p.b.clock(1));
  p.exchange(2);
  p.a.said.forget_received_before(p.a.clock(1.9));
  EXPECT_TRUE(p.a.said.cancelled("run-1"));
  p.a.said.forget_received_before(p.a.clock(2.1));
  EXPECT_FALSE(p.a.said.cancelled("run-1"));
  p.b.said.forget("run-1");
  Side fresh{"a", 12, 500, {"b"}};
  p.b.merge(fresh.heartbeat("b", 3), 3);
  EXPECT_TRUE(p.b.heartbeat("a", 3.1).cancelled.empty());
}

TEST(Answering, IsBoundedByWhatMayBeUnheardAndByNothingElse) {
  const double bound = staleness_bound_s(42, 12);
  EXPECT_GT(bound, 0);
  EXPECT_LT(bound + 12, 42);
  for (bool contact : {false, true})
    for (bool peer : {false, true})
      for (bool alone : {false, true})
        for (bool first : {false, true}) {
          EXPECT_EQ(decide_renewal({contact, peer, alone, first, bound}, bound),
                    RenewalDecision::redirect);
          const bool better_off = !contact && (peer || (alone && first));
          EXPECT_EQ(decide_renewal({contact, peer, alone, first, bound - 0.1}, bound),
                    better_off ? RenewalDecision::redirect : RenewalDecision::renew);
        }
}

}  // namespace
}  // namespace damsonport
