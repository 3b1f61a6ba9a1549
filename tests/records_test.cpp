#include "storage/records.hpp"

#include <gtest/gtest.h>

#include "coordination/api/arrival_rate.hpp"
#include "coordination/leadership/version_registry.hpp"
#include "storage/record_cache.hpp"
#include "transport/event_http.hpp"

namespace damsonport {
namespace {

TEST(Chunk, RecordsStayBelowTheValueLimitInAnyState) {
  for (double kb : {1.0, 16.0, 64.0}) {
    uint32_t size = chunk_size(kb);
    TaskChunk c;
    for (uint32_t i = 0; i < size; ++i) {
      c.start(i, 999999999, "i-0000000000");
    }
    EXPECT_LE(encode_chunk(c).dump().size(), kb * 1024);
    for (uint32_t i = 0; i < size; i += 2) c.end(i, TaskEnd::restart);
    EXPECT_LE(encode_chunk(c).dump().size(), kb * 1024);
  }
}

std::string long_name(size_t bytes) { return std::string(bytes, 'n'); }

// Every other kind of record at its largest, for the least values that a site has announced.
TEST(Records, StayBelowTheAnnouncedValueLimit) {
  constexpr double kb = 2;
  const auto fits = [](const Json& value) {
    return static_cast<double>(stored_size(value)) <= kb * 1024;
  };
  EXPECT_TRUE(fits(encode_leader({long_name(64), UINT64_MAX})));
  ShardTable shard_table;
  shard_table.leases.push_back({long_name(64), UINT64_MAX, UINT64_MAX, {}, true});
  shard_table.renewals = UINT64_MAX;
  EXPECT_TRUE(fits(encode_shard_table(shard_table)));
  std::vector<std::string> machines(machines_per_tombstone(kb), "i-000000000000000000");
  EXPECT_TRUE(fits({{"machines", machines}}));
  EXPECT_TRUE(
      fits({{"type", long_name(200)}, {"zone", long_name(200)}, {"spot", false}, {"count", 50}}));
  EXPECT_TRUE(fits({{"s", "aborted"}, {"n", UINT64_MAX}}));
  EXPECT_TRUE(fits({{"v", UINT64_MAX}}));
  EXPECT_LE(machines_per_tombstone(1000), 100u);
}

TEST(Records, AJobWhoseRecordCanNeverFitIsTold) {
  JobSpec spec;
  spec.id = "run-" + long_name(60);
  spec.job_class = spec.team = spec.image = long_name(200);
  spec.zone = long_name(64);
  spec.types = {long_name(64), long_name(64)};
  EXPECT_TRUE(job_record_fits(spec, 2));
  EXPECT_FALSE(job_record_fits(spec, 1));
  // Control characters are stored escaped.
  spec.job_class = spec.image = std::string(200, '\x01');
  EXPECT_FALSE(job_record_fits(spec, 2));
}

TEST(Chunk, AttemptsOnlyGrowAndDoneTasksLeaveNoTrace) {
  TaskChunk c;
  auto next = c.peek_startable(2);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->index, 0u);
  EXPECT_EQ(next->attempt, 1u);
  c.start(0, 1, "m");
  c.end(0, TaskEnd::restart);
  next = c.peek_startable(2);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->index, 0u);
  EXPECT_EQ(next->attempt, 2u);
  c.start(0, 2, "m");
  c.start(1, 1, "m");
  EXPECT_FALSE(c.peek_startable(2));
  c.end(0, TaskEnd::done);
  EXPECT_EQ(c.done_count(), 1u);
  EXPECT_FALSE(c.finished(2));
  c.end(1, TaskEnd::done);
  EXPECT_TRUE(c.finished(2));
}

TEST(Chunk, ComesBackFromItsValue) {
  TaskChunk c;
  c.start(0, 3, "i-1");
  c.start(2, 1, "i-2");  // passes over 1, which waits
  auto back = decode_chunk(encode_chunk(c));
  EXPECT_EQ(back.next, 3u);
  ASSERT_EQ(back.live.size(), 2u);
  EXPECT_EQ(back.live[1].machine, "i-2");
  ASSERT_EQ(back.waiting.size(), 1u);
  EXPECT_EQ(back.waiting[0].index, 1u);
}

TEST(WriteShare, FollowsWhatIsWantedAndNeverExceedsTheLimit) {
  for (double leader : {0.0, 90.0, 900.0})
    for (double other : {0.0, 7.0, 270.0}) {
      double sum = write_share(5, leader, 4 * other);
      for (int i = 0; i < 4; ++i) sum += write_share(5, other, leader + 3 * other);
      EXPECT_LE(sum, 1 + 1e-9);
    }
  EXPECT_GT(write_share(5, 90, 0), 0.8);  // a leader alone with its work
  EXPECT_GT(write_share(5, 0, 1000), 0);  // but nobody is left without
}

// A guest's swarm of small jobs, 12.5 a second over five controllers, beside a leader that is busy:
// by their queues alone the others would get their shares only while users wait.
TEST(WriteShare, HasRoomForWhatArrivesBeforeAnybodyWaits) {
  constexpr double writes_per_s = 46, arrivals_per_s = 2.5, leader_wants = 25;
  ArrivalRate rate(1.5);
  double now = 0;
  for (; now < 6; now += 1 / arrivals_per_s) rate.note(now);
  EXPECT_NEAR(rate.at(now), arrivals_per_s, 0.5);
  const double wanted = 2 * rate.at(now);
  EXPECT_GT(write_share(5, wanted, leader_wants + 3 * wanted) * writes_per_s, arrivals_per_s);
  EXPECT_LT(rate.at(now + 10), 0.01);  // and it gives the share back
}

const StateLimits hundred_a_second{100, 100, 16, 12};
const StateLimitSettings limits{hundred_a_second, hundred_a_second};

// A refusal for the rate brings the announced rate, which is kept to for a while.
TEST(RateLimiter, FollowsRefusalsAndTriesThePresentLimitAgain) {
  class Clock : public Loop {
   public:
    explicit Clock(std::seed_seq&& seed) : Loop(seed) {}
    double now() const override { return time; }
    double wall() const override { return time; }
    std::unique_ptr<Timer> timer(Timer::Fire, void*) override { return nullptr; }
    double time = 100;

   private:
    void ended() override {}
  };
  Clock clock(std::seed_seq{1u});
  RateLimiter limit(clock, {{100, 50, 16, 12}, {100, 35, 2, 4}});
  limit.set_shares(1, 1);
  const double present = limit.writes_per_s();
  limit.on_refused();
  EXPECT_NEAR(limit.writes_per_s(), present * 35 / 50, 1e-9);
  clock.time += 29;
  limit.set_shares(1, 1);
  EXPECT_LT(limit.writes_per_s(), present);
  clock.time += 2;
  limit.set_shares(1, 1);
  EXPECT_NEAR(limit.writes_per_s(), present, 1e-9);
  // Refused again: it is kept to for longer.
  limit.on_refused();
  clock.time += 31;
  limit.set_shares(1, 1);
  EXPECT_LT(limit.writes_per_s(), present);
}

TEST(ForwardedExits, ComeBackFromTheirValue) {
  ForwardedExits r{
      7, {{"i-1", {"run-1", 3}, 2, ExitCause::done}, {"i-2", {"run-2", 0}, 1, ExitCause::peers}}};
  const auto back = decode_forwarded_exits(encode_forwarded_exits(r));
  EXPECT_EQ(back.fencing_token, 7u);
  EXPECT_EQ(back.exits, r.exits);
  // A cause that a later version knows is an end all the same, but never a success.
  auto later = encode_forwarded_exits(r);
  later["exits"][0][4] = 99;
  EXPECT_EQ(decode_forwarded_exits(later).exits[0].cause, ExitCause::stopped);
}

// What an older controller doesn't understand waits until every one has recorded the version.
TEST(VersionRegistry, CountsEveryControllerOfTheSettings) {
  EventLoop loop;
  EventHttpClient http(loop);
  KeyValueClient state(loop, http, {"127.0.0.1", 1}, limits);
  RecordCache cache(loop, 0, 50);
  Settings settings;
  settings.controller_name = "n0";
  settings.peers = {{"n1", "a", {}}, {"n2", "a", {}}};
  VersionRegistry registry(loop, settings, state, cache);
  EXPECT_FALSE(registry.all_have(VersionRegistry::gangs));
  cache.apply({keys::version("n0"), {{"v", 1}}, 5, 0});
  cache.apply({keys::version("n1"), {{"v", 1}}, 6, 0});
  cache.apply({keys::version("stranger"), {{"v", 1}}, 7, 0});
  EXPECT_FALSE(registry.all_have(VersionRegistry::gangs));
  cache.apply({keys::version("n2"), {{"v", 2}}, 8, 0});
  EXPECT_TRUE(registry.all_have(VersionRegistry::gangs));
  EXPECT_FALSE(registry.all_have(2));
}

// A batch of marks is one record, and each of its machines is marked for good.
TEST(Marks, OneRecordMarksManyMachines) {
  EventLoop loop;
  RecordCache cache(loop, 0, 50);
  cache.apply({keys::tombstone("a"), {{"machines", {"i-1", "i-2"}}}, 5, 0});
  cache.apply({keys::tombstone("b"), {{"machines", {"i-3"}}}, 6, 0});
  EXPECT_TRUE(cache.has_tombstone("i-1") && cache.has_tombstone("i-2") &&
              cache.has_tombstone("i-3"));
  EXPECT_FALSE(cache.has_tombstone("i-4"));
}

JobSpec two_tasks() {
  JobSpec s;
  s.id = "run-1", s.job_class = "c", s.team = "t", s.image = "img", s.tasks = 2, s.cpus = 1;
  return s;
}

// However many keys are removed after it, a late copy of a read does not bring a job back.
TEST(Removals, ALateCopyDoesNotBringBackWhatWasJustRemoved) {
  EventLoop loop;
  RecordCache cache(loop, 0, 50);
  const KeyValue copy{keys::job("run-1"), encode_job(two_tasks()), 1, 0};
  cache.apply(copy);
  ASSERT_NE(cache.job("run-1"), nullptr);
  for (uint64_t i = 0; i < 4095; ++i)
    cache.apply({keys::scale_out_request("r-" + std::to_string(i)), Json(), 2 + i, 0});
  cache.apply({keys::job("run-1"), Json(), 5000, 0});
  cache.apply({keys::scale_out_request("r-last"), Json(), 5001, 0});
  cache.apply(copy);
  EXPECT_EQ(cache.job("run-1"), nullptr);
}

// Only the tasks that a change moves are told of, not the whole chunk.
TEST(Assignments, AChangeTouchesOnlyWhatDiffers) {
  EventLoop loop;
  RecordCache cache(loop, 0, 50);
  std::string told;
  cache.events().on_assignment = [&](const std::string& machine, const Job&,
                                     AssignmentChange change) {
    told += (change == AssignmentChange::added ? "+" : "-") + machine + " ";
  };
  auto value = encode_job(two_tasks());
  value["chunk"] = 10;
  cache.apply({keys::job("run-1"), value, 1, 0});
  TaskChunk c;
  c.start(0, 1, "i-1");
  cache.apply({keys::chunk("run-1", 0), encode_chunk(c), 2, 0});
  c.start(1, 1, "i-2");
  cache.apply({keys::chunk("run-1", 0), encode_chunk(c), 3, 0});
  c.end(0, TaskEnd::done);
  cache.apply({keys::chunk("run-1", 0), encode_chunk(c), 4, 0});
  EXPECT_EQ(told, "+i-1 +i-2 -i-1 ");
  EXPECT_EQ(cache.job("run-1")->live, 1u);
  EXPECT_EQ(cache.job("run-1")->done, 1u);
  EXPECT_TRUE(cache.assigned("i-1").empty());
}

TEST(ShardTable, ComeBackFromTheirValue) {
  ShardTable b;
  b.leases.push_back({"n", 7, 41, {"i-1"}, true});
  auto back = decode_shard_table(encode_shard_table(b));
  ASSERT_EQ(back.leases.size(), 1u);
  EXPECT_EQ(back.leases[0].fencing_token, 41u);
  EXPECT_TRUE(back.leases[0].covers_unassigned);
  EXPECT_EQ(back.leases[0].machines, std::vector<std::string>{"i-1"});
}

}  // namespace
}  // namespace damsonport
