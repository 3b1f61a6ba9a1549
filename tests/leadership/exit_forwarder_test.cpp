/// Tests of the exit forwarder with a simulated store: the contents of its record.
#include "coordination/leadership/exit_forwarder.hpp"

#include <gtest/gtest.h>

#include <numeric>

#include "simulation/key_value_store.hpp"
#include "simulation/virtual_network.hpp"
#include "storage/record_watcher.hpp"

namespace damsonport {
namespace {

const std::string store_host = "10.9.0.1";
constexpr StateLimits limits{150, 50, 1, 12};  // values of 1 KiB
constexpr uint64_t fencing_token = 41;
constexpr uint32_t tasks_on_machine = 60;  // of job run-1, on each of two machines

Settings test_settings() {
  Settings settings;
  settings.controller_name = "n0";
  settings.listen = {"10.0.0.1", 80};
  settings.state = {store_host, 80};
  settings.state_limits = {limits, limits};
  settings.lease_s = 24;
  settings.heartbeat_interval_s = 2;
  return settings;
}

/// A heartbeat of the machine that reports these tasks of run-1 as failed.
Heartbeat heartbeat_with_failed(const std::string& machine, uint64_t agent_epoch,
                                const std::vector<uint32_t>& tasks) {
  Heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.agent_epoch = agent_epoch;
  heartbeat.fencing_token = fencing_token;
  for (uint32_t task : tasks)
    heartbeat.tasks.push_back({{"run-1", task}, 1, TaskState::exited, ExitCause::error, false});
  return heartbeat;
}

std::string describe(const ForwardedExit& exit) {
  return exit.task.text() + " on " + exit.machine + " in epoch " + std::to_string(exit.agent_epoch);
}

using Descriptions = std::vector<std::string>;

class ExitForwarderTest : public ::testing::Test {
 protected:
  ExitForwarderTest() {
    store_job();
    loop_.enter();
    loop_.spawn("cache", watcher_.run(loop_.stop_token()));
    loop_.spawn("forwarder", forwarder_.run(loop_.stop_token()));
    run(2);
  }
  ~ExitForwarderTest() override { network_.end(); }
  ExitForwarderTest(const ExitForwarderTest&) = delete;
  ExitForwarderTest& operator=(const ExitForwarderTest&) = delete;

  void run(double seconds) { world_.run_until(world_.now() + seconds); }
  /// Stores a job whose first tasks are placed on i-1 and whose other tasks are on i-2.
  void store_job() {
    JobSpec spec;
    spec.id = "run-1";
    spec.job_class = "c";
    spec.team = "t";
    spec.image = "img";
    spec.tasks = 2 * tasks_on_machine;
    spec.cpus = 1;
    store_service_.store(keys::job(spec.id), encode_job_record(spec, spec.tasks));
    TaskChunk chunk;
    for (uint32_t task = 0; task < spec.tasks; ++task)
      chunk.start(task, 1, task < tasks_on_machine ? "i-1" : "i-2");
    store_service_.store(keys::chunk(spec.id, 0), encode_chunk(chunk));
  }
  /// Descriptions of the exits in the store.
  std::vector<std::string> recorded() const {
    const Json* value = store_service_.value(keys::forwarded_exits("n0"));
    std::vector<std::string> out;
    if (!value) return out;
    for (auto& exit : decode_forwarded_exits(*value).exits) out.push_back(describe(exit));
    return out;
  }

  /// The fencing token of the exits in the store.
  uint64_t recorded_token() const {
    const Json* value = store_service_.value(keys::forwarded_exits("n0"));
    return value ? decode_forwarded_exits(*value).fencing_token : 0;
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
  ExitForwarder forwarder_{loop_, settings_, store_, cache_};
};

TEST_F(ExitForwarderTest, RecordsTheAgentEpochOfEachExit) {
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-1", 3, {0}));
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-2", 1, {60}));
  run(1);
  EXPECT_EQ(recorded(), (Descriptions{"run-1/0 on i-1 in epoch 3", "run-1/60 on i-2 in epoch 1"}));
}

TEST_F(ExitForwarderTest, ALaterAgentEpochReplacesTheExitsOfTheEarlierOne) {
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-1", 1, {0, 1}));
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-1", 2, {2}));
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-1", 1, {0, 1}));  // a late copy
  run(1);
  EXPECT_EQ(recorded(), Descriptions{"run-1/2 on i-1 in epoch 2"});
}

TEST_F(ExitForwarderTest, ALaterFencingTokenReplacesAllExits) {
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-1", 1, {0}));
  forwarder_.forward(fencing_token + 1, heartbeat_with_failed("i-2", 1, {60}));
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-1", 1, {0}));
  run(1);
  EXPECT_EQ(recorded(), Descriptions{"run-1/60 on i-2 in epoch 1"});
}

// Guards against exits that no shard leader accepts, because the record has the token of an earlier
// lease.
TEST_F(ExitForwarderTest, TheSameExitsUnderALaterTokenAreRecordedAgain) {
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-1", 1, {0}));
  run(1);
  const Json earlier_record = *store_service_.value(keys::forwarded_exits("n0"));
  forwarder_.forward(fencing_token + 1, heartbeat_with_failed("i-1", 1, {0}));
  run(1);
  EXPECT_EQ(recorded_token(), fencing_token + 1);
  store_service_.write(keys::forwarded_exits("n0"),
                       earlier_record);  // a late copy of the first write
  run(2);
  EXPECT_EQ(recorded_token(), fencing_token + 1);
  EXPECT_EQ(recorded(), Descriptions{"run-1/0 on i-1 in epoch 1"});
}

// Guards against outdated exits that stay in the record, since the shard leader never commits them,
// until they leave no space for others.
TEST_F(ExitForwarderTest, ExitsThatAreNotRepeatedForALeaseMakeSpaceForOthers) {
  std::vector<uint32_t> tasks(tasks_on_machine);
  std::iota(tasks.begin(), tasks.end(), 0);
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-1", 1, tasks));
  run(settings_.lease_s / 2);
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-2", 1, {60}));
  run(1);
  ASSERT_FALSE(recorded().empty());
  EXPECT_LT(recorded().size(), tasks.size()) << "the record should be full in this test";
  EXPECT_NE(recorded().back(), "run-1/60 on i-2 in epoch 1");
  run(settings_.lease_s / 2 + 1);
  EXPECT_EQ(recorded(), Descriptions{"run-1/60 on i-2 in epoch 1"});
  run(settings_.lease_s);
  EXPECT_TRUE(recorded().empty());
}

TEST_F(ExitForwarderTest, CommittedExitsAreRemoved) {
  forwarder_.forward(fencing_token, heartbeat_with_failed("i-1", 1, {0, 1}));
  run(1);
  TaskChunk chunk = decode_chunk(*store_service_.value(keys::chunk("run-1", 0)));
  chunk.end_attempt(0, TaskEnd::restart);
  store_service_.write(keys::chunk("run-1", 0), encode_chunk(chunk));
  run(2);
  EXPECT_EQ(recorded(), Descriptions{"run-1/1 on i-1 in epoch 1"});
}

}  // namespace
}  // namespace damsonport
