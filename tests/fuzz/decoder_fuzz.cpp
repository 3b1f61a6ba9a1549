/// Feeds mutated messages to every decoder, under the address and undefined-behaviour sanitizers.
///
/// usage: decoder_fuzz FIRST_SEED SEEDS CASES    (cases for each seed)
///
/// Besides not failing under the sanitizers: no decoder throws, an accepted body is decoded as the
/// JSON library decodes it, and decodes to the same value after it was encoded again. Exits with
/// status 1 and prints the seed, the case and the body in hexadecimal for a case that breaks this.
#include <spdlog/spdlog.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

#include "body_mutator.hpp"
#include "protocol/cloud_messages.hpp"
#include "protocol/messages.hpp"
#include "protocol/peer_heartbeat.hpp"
#include "protocol/region_message.hpp"
#include "storage/record_cache.hpp"

namespace damsonport::fuzz {
namespace {

constexpr uint64_t record_version = 7;

Json submission() {
  return {{"ref", "run-1"},   {"berth", "c"},
          {"owner", "t"},     {"shape", "batch"},
          {"rank", "high"},   {"hands", 4},
          {"cores", 2.0},     {"accelerators", 1.0},
          {"memory_gb", 8.0}, {"cargo", "img-\xc3\xa9"},
          {"size_gb", 3.0},   {"hulls", Json::array({"g8", "g4"})},
          {"dock", nullptr},  {"same_place", false},
          {"spread", false},  {"tender", true},
          {"voyage_s", 60.0}, {"moor_s", 10.0},
          {"stow_s", 2.0},    {"due_s", 900.0},
          {"chunk", 64},      {"unknown", {{"a", Json::array({1, Json::array({2.5})})}}}};
}

Json report() {
  return {{"vessel", "i-000231"},
          {"address", "10.1.0.232:9000"},
          {"hull", "g8"},
          {"dock", "a"},
          {"tender", true},
          {"watch", 1},
          {"tally", 88},
          {"helm", 41},
          {"recall_s", 30.5},
          {"hands", Json::array({{{"hand", "run-000412/3"}, {"launch", 2}, {"status", "running"}},
                                 {{"hand", "run-000398/0"},
                                  {"launch", 1},
                                  {"status", "exited"},
                                  {"cause", "done"},
                                  {"kept", true}}})}};
}

std::vector<Json> map_messages() {
  return {submission(),
          report(),
          {{"hulls", Json::array({{{"name", "g8"},
                                   {"cores", 96},
                                   {"accelerators", 8},
                                   {"memory_gb", 768},
                                   {"local_gb", 200},
                                   {"pull_gb_per_s", 1.0},
                                   {"hourly", 12.0},
                                   {"spot_price", 4.5},
                                   {"ready_s", 45},
                                   {"docks", {"a", "b"}}}})}},
          {{"vessels", Json::array({{{"ref", "i-000231"},
                                     {"address", "10.1.0.232:9000"},
                                     {"hull", "g8"},
                                     {"dock", "a"},
                                     {"tender", true},
                                     {"status", "running"},
                                     {"held_s", 61.5}}})},
           {"more", false}},
          {{"vessels", {"i-000231", "i-000232"}}},
          {{"n", 4},
           {"l", Json::array({Json::array({0, 1, "m1"}), Json::array({2, 3, "m2"})})},
           {"w", Json::array({Json::array({3, 1})})}},
          {{"grants", Json::array({{{"node", "n0"}, {"inc", 7}, {"term", 5}, {"rest", true}}})},
           {"renewals", 3}},
          {{"node", "n0"}, {"inc", 7}},
          {{"term", 5}, {"exits", Json::array({Json::array({"m1", "run-1", 0, 1, 1, 2})})}},
          {{"machines", {"i-1", "i-2"}}},
          {{"type", "g8"}, {"zone", "a"}, {"spot", false}, {"count", 3}},
          {{"v", 9}},
          {{"initial", {1, 2}}, {"sent", {{"r", {1, 2}}}}, {"received", {{"r", {3, 4}}}}}};
}

std::string peer_heartbeat() {
  PeerHeartbeat heartbeat;
  heartbeat.controller = "quay-1";
  heartbeat.incarnation = 77;
  heartbeat.cancelled = {{"run-1", 20, PeerHeartbeat::JobMachines{true, {"i-1", "i-2"}}}};
  return encode_peer_heartbeat(heartbeat);
}

std::string region_message() {
  RegionMessage message;
  message.region = "r0";
  message.receiver = "r1";
  message.controller = "n0";
  message.teams.emplace_back().team = "t";
  return encode_region_message(message);
}

std::vector<std::string> corpus() {
  std::vector<std::string> out;
  for (auto& message : map_messages()) out.push_back(encode(message));
  out.push_back(peer_heartbeat());
  out.push_back(region_message());
  return out;
}

bool has_discarded(const Json& value) {
  if (value.is_discarded()) return true;
  if (!value.is_structured()) return false;
  for (auto& item : value)
    if (has_discarded(item)) return true;
  return false;
}

// The library wraps integers below -2^63.
bool has_integer_below_range(const std::string& body) {
  for (size_t i = 0; i + 1 < body.size(); ++i)
    if (body[i] == '\x3b' && static_cast<unsigned char>(body[i + 1]) >= 0x80) return true;
  return false;
}

// The library's value of an accepted body; null if the library refuses the body.
Json library_value(const std::string& body) {
  try {
    Json value = Json::from_cbor(body, true, false);
    return value.is_object() ? value : Json();
  } catch (const Json::exception&) {
    return {};
  }
}

// Empty if the decoded map is as it should be.
std::string check_map(const std::string& body, const Json& map) {
  if (map.is_null() || has_discarded(map)) return {};
  const std::string encoded = encode(map);
  if (encode(decode_map(encoded)) != encoded) return "another value after it was encoded again";
  const Json expected = library_value(body);
  if (expected.is_object() && !has_integer_below_range(body) && encode(expected) != encoded)
    return "another value than the library's";
  return {};
}

void decode_messages(const std::string& body, const Json& map) {
  (void)decode_submission(map);
  (void)decode_job(map);
  (void)decode_heartbeat(map);
  (void)decode_catalog(map);
  (void)decode_machine_list(map);
  (void)decode_created_machines(map);
  PeerHeartbeat heartbeat;
  RegionMessage message;
  size_t used = 0;
  (void)decode_peer_heartbeat(body, heartbeat, used);
  (void)decode_region_message(body, message, used);
}

constexpr std::array record_keys = {"d/b",   "d/l",     "d/j/run-1", "d/t/run-1/0", "d/t/run-1/1",
                                    "d/m/b", "d/r/r-1", "d/e/n0",    "d/q/t",       "d/v/n0"};

/// The cache needs only the clocks of a loop.
class StandingLoop : public Loop {
 public:
  explicit StandingLoop(std::seed_seq&& seed) : Loop(seed) {}
  double now() const override { return 1000; }
  double unix_time() const override { return 1.7e9; }
  std::unique_ptr<Timer> timer(Timer::Callback, void*) override { return nullptr; }

 private:
  void on_tasks_ended() override {}
};

void apply_records(RecordCache& cache, const Json& map) {
  for (const char* key : record_keys) cache.apply({key, map, record_version, 0});
}

std::string check(const std::string& body, Loop& loop) {
  try {
    const Json map = decode_map(body);
    decode_messages(body, map);
    RecordCache cache(loop, 0.005, 40);
    apply_records(cache, map);
    return check_map(body, map);
  } catch (const std::exception& e) {
    return e.what();
  }
}

void print_body(const std::string& body) {
  for (const char c : body) std::printf("%02x", static_cast<unsigned char>(c));
  std::printf("\n");
}

struct Counts {
  uint64_t cases = 0;
  uint64_t accepted = 0;
  std::array<uint64_t, cbor::decode_error_count> by_error{};
};

bool run_seed(uint64_t seed, uint64_t cases, const std::vector<std::string>& bodies, Loop& loop,
              Counts& counts) {
  BodyMutator mutator(bodies, seed);
  for (uint64_t i = 0; i < cases; ++i) {
    const std::string body = mutator.next();
    auto error = cbor::DecodeError::none;
    (void)decode_map(body, error);
    ++counts.cases;
    ++counts.by_error[static_cast<size_t>(error)];
    const std::string problem = check(body, loop);
    if (problem.empty()) continue;
    std::printf("seed %llu, case %llu: %s\n", static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(i), problem.c_str());
    print_body(body);
    return false;
  }
  return true;
}

int run(uint64_t first_seed, uint64_t seeds, uint64_t cases) {
  spdlog::set_level(spdlog::level::off);
  const auto bodies = corpus();
  StandingLoop loop(std::seed_seq{1});
  Counts counts;
  for (uint64_t seed = first_seed; seed < first_seed + seeds; ++seed)
    if (!run_seed(seed, cases, bodies, loop, counts)) return 1;
  std::printf("%llu cases of seeds %llu to %llu\n", static_cast<unsigned long long>(counts.cases),
              static_cast<unsigned long long>(first_seed),
              static_cast<unsigned long long>(first_seed + seeds - 1));
  for (size_t error = 0; error < counts.by_error.size(); ++error)
    std::printf("%10llu %s\n", static_cast<unsigned long long>(counts.by_error[error]),
                describe(static_cast<cbor::DecodeError>(error)));
  return 0;
}

}  // namespace
}  // namespace damsonport::fuzz

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: decoder_fuzz FIRST_SEED SEEDS CASES\n";
    return 2;
  }
  return damsonport::fuzz::run(std::strtoull(argv[1], nullptr, 10),
                               std::strtoull(argv[2], nullptr, 10),
                               std::strtoull(argv[3], nullptr, 10));
}
