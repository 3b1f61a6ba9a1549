/// Tests of CommandDispatcher: the requests it sends, the limits of concurrent requests, and the
/// state of start commands after a failed request.
#include "coordination/machines/command_dispatcher.hpp"

#include <gtest/gtest.h>

#include <map>

#include "simulation/virtual_network.hpp"
#include "simulation/world.hpp"

namespace damsonport {
namespace {

constexpr uint64_t agent_epoch = 7;

Command command(Command::Op op, uint32_t index) { return {op, {"run-1", index}, 1, 0}; }

/// A dispatcher whose machines don't respond by themselves: each request waits for the response of
/// the test.
class CommandDispatcherTest : public ::testing::Test {
 protected:
  struct Request {
    std::string to, target, body;
    simulation::World::ResponseHandler answer;
  };

  CommandDispatcherTest() {
    settings_.max_sockets = 1;  // so that the limit of concurrent requests is minimal
    settings_.heartbeat_interval_s = 2;
  }

  Machine& add_machine(const std::string& id) {
    Machine& machine = machines_[id];
    machine.id = id;
    machine.address = "10.1.0." + id.substr(2) + ":9000";
    machine.agent_epoch = agent_epoch;
    world_.serve(machine.address.substr(0, machine.address.find(':')),
                 [this, id](const std::string&, Method, const std::string& target,
                            const std::string& body, auto answer) {
                   requests_.push_back({id, target, body, std::move(answer)});
                 });
    return machine;
  }
  CommandDispatcher::Callbacks callbacks() {
    CommandDispatcher::Callbacks callbacks;
    callbacks.fencing_token = [this] { return fencing_token_; };
    callbacks.take_message_token = [this](Machine& machine, const std::vector<Command>& commands) {
      return take_message_token(machine, commands, {fencing_token_, fencing_token_});
    };
    callbacks.is_leading = [this] { return is_leading_; };
    callbacks.find_machine = [this](const std::string& id) {
      auto it = machines_.find(id);
      return it == machines_.end() ? nullptr : &it->second;
    };
    callbacks.is_suspected = [this](const Machine& machine) { return machine.id == suspected_; };
    callbacks.is_needed = [this](const Machine&, const Command& command) {
      return !unneeded_.contains(command.task);
    };
    callbacks.on_send_failed = [this](const std::string& id) { failed_.push_back(id); };
    callbacks.on_reachable_again = [this](const std::string& id) { reachable_.push_back(id); };
    callbacks.on_status = [this](Machine&, const Heartbeat&, double requested_at) {
      status_requested_at_.push_back(requested_at);
      return commands_on_status_;
    };
    return callbacks;
  }
  void run(double seconds = 0.5) { world_.run_until(world_.now() + seconds); }
  static std::string status_of(const std::string& id) {
    return encode(Json{{"vessel", id},
                       {"address", id + ":9000"},
                       {"hull", "g"},
                       {"dock", "a"},
                       {"tender", false},
                       {"watch", agent_epoch},
                       {"tally", 3},
                       {"helm", 41},
                       {"recall_s", nullptr},
                       {"hands", Json::array()}});
  }

  simulation::World world_{1};
  simulation::VirtualLoop loop_{world_, "n0", std::seed_seq{1}, 1, 0};
  simulation::VirtualNetwork::Streams streams_;
  simulation::VirtualNetwork network_{loop_, "n0", streams_};
  std::unique_ptr<HttpClient> http_ = network_.client();
  Settings settings_;
  uint64_t fencing_token_ = 41;
  bool is_leading_ = true;
  std::string suspected_;
  std::set<TaskId> unneeded_;
  std::vector<Command> commands_on_status_;
  std::map<std::string, Machine> machines_;
  std::vector<Request> requests_;
  std::vector<std::string> failed_;
  std::vector<std::string> reachable_;
  std::vector<double> status_requested_at_;
  CommandDispatcher dispatcher_{loop_, settings_, *http_, callbacks()};
};

TEST_F(CommandDispatcherTest, CommandsOfOneLoopIterationShareARequest) {
  Machine& machine = add_machine("i-1");
  const std::vector<Command> commands = {command(Command::Op::start, 0),
                                         command(Command::Op::stop, 1)};
  for (auto& each : commands) dispatcher_.dispatch(machine, each);
  run();
  ASSERT_EQ(requests_.size(), 1u);
  EXPECT_EQ(requests_[0].target, "/commands");
  EXPECT_EQ(requests_[0].body, encode_direct_commands(fencing_token_, agent_epoch, commands));
  EXPECT_EQ(machine.starts_in_flight, (std::set<AttemptKey>{{{"run-1", 0}, 1}}));
}

TEST_F(CommandDispatcherTest, AMachineHasOneRequestInProgressAtATime) {
  Machine& machine = add_machine("i-1");
  dispatcher_.dispatch(machine, command(Command::Op::stop, 0));
  run();
  dispatcher_.dispatch(machine, command(Command::Op::stop, 1));
  run();
  ASSERT_EQ(requests_.size(), 1u);
  requests_[0].answer({200, status_of("i-1")});
  run();
  ASSERT_EQ(requests_.size(), 2u);
  EXPECT_EQ(requests_[1].body,
            encode_direct_commands(fencing_token_, agent_epoch, {command(Command::Op::stop, 1)}));
}

TEST_F(CommandDispatcherTest, UnneededCommandsAreNotSent) {
  Machine& machine = add_machine("i-1");
  dispatcher_.dispatch(machine, command(Command::Op::start, 0));
  unneeded_.insert({"run-1", 0});
  run();
  EXPECT_TRUE(requests_.empty());
  EXPECT_FALSE(machine.sending);
}

TEST_F(CommandDispatcherTest, NothingIsSentToASuspectedMachineOrBeforeTheFirstHeartbeat) {
  Machine& suspected = add_machine("i-1");
  suspected_ = "i-1";
  Machine& unknown = add_machine("i-2");
  unknown.agent_epoch = 0;
  dispatcher_.dispatch(suspected, command(Command::Op::stop, 0));
  dispatcher_.dispatch(unknown, command(Command::Op::stop, 0));
  run();
  EXPECT_TRUE(requests_.empty());
  EXPECT_TRUE(suspected.pending_commands.empty());
}

TEST_F(CommandDispatcherTest, NothingIsSentAfterTheLeaseIsLost) {
  Machine& machine = add_machine("i-1");
  dispatcher_.dispatch(machine, command(Command::Op::stop, 0));
  is_leading_ = false;
  run();
  EXPECT_TRUE(requests_.empty());
}

TEST_F(CommandDispatcherTest, AnAnsweredStartStaysOutstandingBecauseACopyMayArrive) {
  Machine& machine = add_machine("i-1");
  dispatcher_.dispatch(machine, command(Command::Op::start, 0));
  run();
  requests_[0].answer({200, status_of("i-1")});
  run();
  EXPECT_TRUE(machine.starts_in_flight.empty());
  EXPECT_TRUE(machine.has_outstanding_start({{"run-1", 0}, 1}));
  EXPECT_FALSE(machine.may_remove({{"run-1", 0}, 1}, fencing_token_));
  EXPECT_TRUE(machine.may_remove({{"run-1", 0}, 1}, fencing_token_ + 1));
}

TEST_F(CommandDispatcherTest, AStartWithoutResponseStaysOutstanding) {
  Machine& machine = add_machine("i-1");
  dispatcher_.dispatch(machine, command(Command::Op::start, 0));
  run();
  dispatcher_.dispatch(machine, command(Command::Op::stop, 1));
  run(5);  // longer than the timeout of the request
  EXPECT_EQ(machine.failed_sends, 1);
  EXPECT_EQ(failed_, std::vector<std::string>{"i-1"});
  EXPECT_TRUE(machine.starts_in_flight.empty());
  EXPECT_EQ(machine.starts_in_requests,
            (std::map<AttemptKey, uint64_t>{{{{"run-1", 0}, 1}, fencing_token_}}));
  EXPECT_TRUE(machine.pending_commands.empty())
      << "the next heartbeat generates again the commands that are still needed";
  EXPECT_FALSE(machine.sending);
}

// Guards against a machine that is never used again because only the answer to a command, which it
// no longer gets, shows that it can be reached.
TEST_F(CommandDispatcherTest, AnAnsweredProbeShowsThatTheMachineCanBeReached) {
  Machine& machine = add_machine("i-1");
  for (int n = 0; n < Machine::max_failed_sends; ++n) {
    EXPECT_TRUE(machine.answers_requests());
    dispatcher_.dispatch(machine, command(Command::Op::stop, 0));
    run(5);
  }
  EXPECT_FALSE(machine.answers_requests());
  dispatcher_.start_probe("i-1");
  run(5);  // without a response
  EXPECT_EQ(machine.failed_sends, Machine::max_failed_sends);
  EXPECT_GT(machine.unanswered_probe_sent_at, machine.unanswered_since);
  dispatcher_.start_probe("i-1");
  run();
  EXPECT_TRUE(reachable_.empty());
  ASSERT_EQ(requests_.back().target, "/show");
  requests_.back().answer({200, status_of("i-1")});
  run();
  EXPECT_TRUE(machine.answers_requests());
  EXPECT_EQ(reachable_, std::vector<std::string>{"i-1"});
}

// Guards against a machine that is filled again and again although it carries out no commands.
TEST_F(CommandDispatcherTest, EachRelapseExcludesTheMachineForLongerUpToALease) {
  settings_.lease_s = 12;
  Machine& machine = add_machine("i-1");
  const auto fail_commands = [&] {
    while (machine.answers_requests()) {
      dispatcher_.dispatch(machine, command(Command::Op::stop, 0));
      run(5);
    }
    machine.unanswered_since = loop_.now();
  };
  const auto reachable_after_s = [&] {
    dispatcher_.note_reachable(machine);
    while (!machine.answers_requests()) {
      run(0.5);
      dispatcher_.note_reachable(machine);
    }
    return loop_.now() - machine.unanswered_since;
  };
  for (const double expected_s : {0.0, 2.0, 4.0, 8.0, 12.0, 12.0}) {
    fail_commands();
    EXPECT_NEAR(reachable_after_s(), expected_s, 0.01);
  }
  dispatcher_.dispatch(machine, command(Command::Op::stop, 0));
  run();
  requests_.back().answer({200, status_of("i-1")});
  run();
  fail_commands();
  EXPECT_NEAR(reachable_after_s(), 0, 0.01);
}

TEST_F(CommandDispatcherTest, AResponseOfAnEarlierLeaseIsIgnored) {
  Machine& machine = add_machine("i-1");
  dispatcher_.dispatch(machine, command(Command::Op::stop, 0));
  run();
  ASSERT_EQ(requests_.size(), 1u);
  ++fencing_token_;
  requests_[0].answer({200, status_of("i-1")});
  run();
  EXPECT_TRUE(status_requested_at_.empty());
}

TEST_F(CommandDispatcherTest, OnlyRemovalsFollowAResponseAtOnce) {
  Machine& machine = add_machine("i-1");
  dispatcher_.dispatch(machine, command(Command::Op::stop, 0));
  run();
  ASSERT_EQ(requests_.size(), 1u);
  commands_on_status_ = {command(Command::Op::stop, 0), command(Command::Op::remove, 1)};
  requests_[0].answer({200, status_of("i-1")});
  run();
  ASSERT_EQ(requests_.size(), 2u);
  EXPECT_EQ(requests_[1].body,
            encode_direct_commands(fencing_token_, agent_epoch, {command(Command::Op::remove, 1)}));
}

TEST_F(CommandDispatcherTest, ConcurrentRequestsAreLimitedAndTheQueueIsProcessedAsTheyEnd) {
  const auto bound = static_cast<size_t>(CommandDispatcher::max_concurrent_sends(settings_));
  for (size_t n = 0; n < bound + 2; ++n)
    dispatcher_.dispatch(add_machine("i-" + std::to_string(n)), command(Command::Op::stop, 0));
  run();
  ASSERT_EQ(requests_.size(), bound);
  requests_[0].answer({200, status_of("i-0")});
  run();
  EXPECT_EQ(requests_.size(), bound + 1);
}

TEST_F(CommandDispatcherTest, ANewLeaseClearsTheQueue) {
  const auto bound = static_cast<size_t>(CommandDispatcher::max_concurrent_sends(settings_));
  for (size_t n = 0; n < bound + 2; ++n)
    dispatcher_.dispatch(add_machine("i-" + std::to_string(n)), command(Command::Op::stop, 0));
  run();
  ASSERT_EQ(requests_.size(), bound);
  dispatcher_.begin_lease();
  requests_[0].answer({200, status_of("i-0")});
  run();
  EXPECT_EQ(requests_.size(), bound);
}

TEST_F(CommandDispatcherTest, AProbeReportsTheStatusAndIsNotStartedTwiceAtOnce) {
  add_machine("i-1");
  const double requested_at = loop_.now();
  dispatcher_.start_probe("i-1");
  dispatcher_.start_probe("i-1");
  run();
  ASSERT_EQ(requests_.size(), 1u);
  EXPECT_EQ(requests_[0].target, "/show");
  requests_[0].answer({200, status_of("i-1")});
  run();
  EXPECT_EQ(status_requested_at_, std::vector<double>{requested_at});
  dispatcher_.start_probe("i-1");
  run();
  EXPECT_EQ(requests_.size(), 2u);
}

TEST_F(CommandDispatcherTest, AStatusOfAnotherMachineIsIgnored) {
  add_machine("i-1");
  dispatcher_.start_probe("i-1");
  run();
  ASSERT_EQ(requests_.size(), 1u);
  requests_[0].answer({200, status_of("i-2")});
  run();
  EXPECT_TRUE(status_requested_at_.empty());
}

TEST_F(CommandDispatcherTest, ProbesAreLimitedToHalfOfTheConcurrentRequests) {
  const auto bound = static_cast<size_t>(CommandDispatcher::max_concurrent_sends(settings_)) / 2;
  for (size_t n = 0; n < bound + 2; ++n) {
    const std::string id = "i-" + std::to_string(n);
    add_machine(id);
    dispatcher_.start_probe(id);
  }
  run();
  EXPECT_EQ(requests_.size(), bound);
}

}  // namespace
}  // namespace damsonport
