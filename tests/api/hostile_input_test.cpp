/// What malformed, odd and refused input does to the users of a whole controller, on virtual time.
#include <gtest/gtest.h>

#include "api/single_controller.hpp"
#include "coordination/api/malformed_requests.hpp"
#include "simulation/key_value_store.hpp"
#include "simulation/simulated_fleet.hpp"
#include "simulation/submission.hpp"
#include "simulation/virtual_controller.hpp"

namespace damsonport::simulation {
namespace {

constexpr double start_s = 8;  // the controller leads and has read the machine types by then

Settings controller_settings() {
  Settings settings = single_controller_settings();
  settings.teams.push_back({"t", 0, 0, 0, 0});
  return settings;
}

MachineType machine_type() {
  MachineType type;
  type.name = "g8", type.cpus = 48, type.gpus = 8, type.memory_gb = 192, type.cache_gb = 200;
  type.fetch_gb_per_s = 1, type.price = 2, type.spot_price = 1, type.boot_s = 20;
  type.zones = {"a"};
  return type;
}

Json submission(const std::string& id) {
  JobSpec spec;
  spec.id = id, spec.job_class = "c", spec.team = "t", spec.image = "img", spec.tasks = 1;
  spec.cpus = 1, spec.memory_gb = 1, spec.image_gb = 1;
  return submission_of(spec);
}

// A controller with its key-value store and cloud.
struct Deployment {
  World world{1};
  VirtualNetwork::Streams streams;
  Settings settings = controller_settings();
  KeyValueStore store{world, settings.state.host, settings.state_limits.present()};
  SimulatedFleet fleet{world, settings, {machine_type()}, {{"n0", settings.listen.host}}};
  VirtualController controller{world, streams, settings, std::nullopt, 1};
  std::map<std::string, int> status;  // of the last response, by the name of the request

  Deployment() { controller.start(); }
  void send_at(double at_s, const std::string& name, const std::string& path, std::string body) {
    world.at(at_s, [this, name, path, body = std::move(body)] {
      world.send_request("10.9.0.1", controller.host(), Method::post, path, body,
                         [this, name](const HttpClientResponse& r) { status[name] = r.status; });
    });
  }
  void submit_at(double at_s, const std::string& name, std::string body) {
    send_at(at_s, name, "/api/jobs", std::move(body));
  }
};

TEST(MalformedRecord, RefusedByTheStore_OtherSubmissionsOfItsTransactionAccepted) {
  Deployment deployment;
  const std::vector<std::string> malformed = {"run-3", "run-8", "run-9"};
  for (auto& id : malformed) deployment.store.take_for_malformed(keys::job(id));
  for (int i = 0; i < 12; ++i) {
    const std::string id = "run-" + std::to_string(i);
    deployment.submit_at(start_s, id, encode(submission(id)));
  }
  deployment.world.run_until(start_s + 4);
  EXPECT_GT(deployment.store.refused_as_malformed(), 0u);
  for (int i = 0; i < 12; ++i) {
    const std::string id = "run-" + std::to_string(i);
    const bool is_malformed = std::count(malformed.begin(), malformed.end(), id) > 0;
    EXPECT_EQ(deployment.status[id], is_malformed ? 400 : 201) << id;
    EXPECT_EQ(deployment.store.value(keys::job(id)) == nullptr, is_malformed) << id;
  }
}

TEST(MalformedRecord, RepeatOfAnAcceptedJob_NotAnsweredAsMalformed) {
  Deployment deployment;
  deployment.store.write(keys::final_state("run-1"), encode_final_state(FinalState::done, 1));
  deployment.store.take_for_malformed(keys::job("run-1"));
  deployment.submit_at(start_s, "run-1", encode(submission("run-1")));
  deployment.world.run_until(start_s + 4);
  EXPECT_EQ(deployment.status["run-1"], 200);
}

// A body with the submission's fields and one more, whose key and value are given as CBOR.
std::string with_field(const Json& message, const std::string& key, const std::string& value) {
  std::string body = encode(message);
  body[0] = '\xbf';  // a map of indefinite length
  if (message.size() > 23) body.erase(1, 1);
  return body + key + value + "\xff";
}

std::string repeated(const std::string& part, size_t count) {
  std::string out;
  for (size_t i = 0; i < count; ++i) out += part;
  return out;
}

std::map<std::string, std::string> unknown_values() {
  return {{"tag", "\xc1\x1a\x01\x02\x03\x04"},
          {"undefined", "\xf7"},
          {"unassigned simple value", "\xf8\xff"},
          {"bytes", "\x42\xff\xfe"},
          {"deep arrays", repeated("\x81", 30000) + "\xf6"},
          {"deep maps", repeated("\xa1\x61k", 10000) + "\xf6"},
          {"text in chunks", "\x7f\x61x\x61y\xff"},
          {"negative below 64 bits", std::string("\x3b\xff\xff\xff\xff\xff\xff\xff\xff", 9)}};
}

TEST(SoundSubmission, UnknownFieldOfAnyContent_AcceptedAsOneJob) {
  Deployment deployment;
  int number = 0;
  double at_s = start_s;
  for (auto& [name, value] : unknown_values()) {
    const std::string id = "run-" + std::to_string(++number);
    deployment.submit_at(at_s, name, with_field(submission(id), encode("unknown"), value));
    deployment.submit_at(at_s + 2, name + ", numbered",
                         with_field(submission(id), "\x18\x2a", value));
    at_s += 0.2;
  }
  deployment.world.run_until(at_s + 4);
  for (auto& [name, value] : unknown_values()) {
    EXPECT_EQ(deployment.status[name], 201) << name;
    EXPECT_EQ(deployment.status[name + ", numbered"], 200) << name;
  }
}

std::vector<std::string> malformed_bodies() {
  const std::string sound = encode(submission("run-1"));
  const std::string key = encode("unknown");
  return {repeated("\x7f", 40000),
          repeated("\x9f", 65536),
          std::string("\x9b\x40\0\0\0\0\0\0\0", 9),
          std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff", 9),
          with_field(submission("run-1"), key, std::string("\x9b\x40\0\0\0\0\0\0\0", 9)),
          with_field(submission("run-1"), key, "\x63\xed\xa0\x80"),
          with_field(submission("run-1"), "\x61\xff", "\x01"),
          with_field(submission("run-1"), encode("cargo"), "\x63\xf0\x28\x8c"),
          sound.substr(0, sound.size() / 2),
          sound + "\x01",
          std::string()};
}

TEST(MalformedBody, ToUsersOrWorkersPath_AnsweredWith400) {
  for (const char* path : {"/api/jobs", "/hello"}) {
    Deployment deployment;
    const auto bodies = malformed_bodies();
    for (size_t i = 0; i < bodies.size(); ++i)
      deployment.send_at(start_s + 0.01 * static_cast<double>(i), std::to_string(i), path,
                         bodies[i]);
    deployment.submit_at(start_s, "sound", encode(submission("run-2")));
    deployment.world.run_until(start_s + 4);
    for (size_t i = 0; i < bodies.size(); ++i)
      EXPECT_EQ(deployment.status[std::to_string(i)], 400) << path << " " << i;
    EXPECT_EQ(deployment.status["sound"], 201);
  }
}

TEST(SimulatedStore, TransactionTheProtocolDoesNotAllow_Refused) {
  World world(1);
  KeyValueStore store(world, "10.2.0.1", {150, 50, 16, 12});
  const std::string malformed[] = {
      std::string(),
      encode({{"writes", {{{"set", "a b"}, {"data", 1}}}}}),
      encode({{"writes", {{{"set", ""}, {"data", 1}}}}}),
      encode({{"writes", {{{"set", std::string(201, 'k')}, {"data", 1}}}}}),
      encode({{"writes", {{{"set", "k"}, {"data", "\xed\xa0\x80"}}}}}),
      encode({{"writes", {{{"set", "k"}, {"data", Json::binary({1})}}}}}),
      encode({{"writes", {{{"set", "k"}}}}}),
      encode({{"if", {{{"path", "k"}}}}}),
      encode({{"if", 7}}),
  };
  int refused = 0;
  for (const std::string& body : malformed)
    world.send_request("10.0.0.1", "10.2.0.1", Method::post, "/txn", body,
                       [&](const HttpClientResponse& r) { refused += r.status == 400; });
  world.run_until(5);
  EXPECT_EQ(refused, static_cast<int>(std::size(malformed)));
  EXPECT_TRUE(store.all().empty());
}

TEST(MalformedRequests, CountedByResource) {
  MalformedRequests requests;
  requests.record(Resource::job_collection, "incomplete CBOR", 10, 1);
  requests.record(Resource::job_collection, "text that is not UTF-8", 10, 1);
  requests.record(Resource::worker_heartbeat, "vessel", 10, 1);
  EXPECT_EQ(requests.count(Resource::job_collection), 2u);
  EXPECT_EQ(requests.count(Resource::worker_heartbeat), 1u);
  EXPECT_EQ(requests.count(Resource::job), 0u);
}

}  // namespace
}  // namespace damsonport::simulation
