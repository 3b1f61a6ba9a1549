// Decoding and encoding of messages, admission checks of jobs, and parsing of settings and tuning.
#include <gtest/gtest.h>

#include "config/settings.hpp"
#include "coordination/api/admission.hpp"
#include "protocol/messages.hpp"
#include "protocol/peer_heartbeat.hpp"
#include "protocol/varint.hpp"

namespace damsonport {
namespace {

Json job_message() {
  return {{"ref", "run-1"},   {"berth", "c"},        {"owner", "t"},    {"shape", "batch"},
          {"rank", "high"},   {"hands", 4},          {"cores", 2.0},    {"accelerators", 1.0},
          {"memory_gb", 8.0}, {"cargo", "img"},      {"size_gb", 3.0},  {"hulls", nullptr},
          {"dock", nullptr},  {"same_place", false}, {"spread", false}, {"tender", true},
          {"voyage_s", 60.0}, {"moor_s", 10.0},      {"stow_s", 2.0},   {"due_s", nullptr}};
}

TEST(Job, EncodedAndDecoded_FieldsUnchanged) {
  auto spec = decode_job(job_message());
  ASSERT_TRUE(spec);
  auto decoded = decode_job(encode_job(*spec));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->priority, Priority::high);
  EXPECT_EQ(decoded->tasks, 4u);
  EXPECT_TRUE(decoded->spot);
  EXPECT_EQ(decoded->checkpoint_s, 10.0);
  EXPECT_FALSE(decoded->deadline_s);
}

TEST(Job, FieldMissingOrInvalid_ErrorNamesIt) {
  const auto whole = job_message();
  for (auto& [field, value] : whole.items()) {
    auto m = job_message();
    m.erase(field);
    auto spec = decode_submission(m);
    m[field] = nullptr;
    EXPECT_EQ(static_cast<bool>(decode_submission(m)), static_cast<bool>(spec)) << field;
    if (field == "hulls" || field == "dock" || field == "due_s") {
      EXPECT_TRUE(spec) << field;
      continue;
    }
    ASSERT_FALSE(spec) << field;
    EXPECT_NE(spec.error().find(field), std::string::npos);
  }
  auto is_rejected = [](const char* key, Json value) {
    auto m = job_message();
    m[key] = std::move(value);
    return !decode_submission(m);
  };
  EXPECT_TRUE(is_rejected("hands", 0));
  EXPECT_TRUE(is_rejected("hands", 100001));
  EXPECT_TRUE(is_rejected("hands", 2.5));
  EXPECT_TRUE(is_rejected("cores", -1.0));
  EXPECT_TRUE(is_rejected("cores", "4"));
  EXPECT_TRUE(is_rejected("rank", "urgent"));
  EXPECT_TRUE(is_rejected("ref", "job 1"));
  EXPECT_TRUE(is_rejected("tender", 1));
  EXPECT_TRUE(is_rejected("hulls", Json::array({1})));
}

// Machine types that the cloud doesn't offer must not use space in the job's record.
TEST(AdmissionCheck, TypesNotInTheCatalog_Dropped) {
  MachineType machine_type;
  machine_type.name = "g";
  auto spec = *decode_job(job_message());
  spec.types = {"gone", "g", "g"};
  drop_unknown_machine_types(spec, {machine_type});
  EXPECT_EQ(spec.types, std::vector<std::string>{"g"});
}

TEST(CborMap, NotOneCompleteMap_DecodedAsNull) {
  EXPECT_TRUE(decode_map("").is_null());
  EXPECT_TRUE(decode_map(std::string("\xff\x00", 2)).is_null());
  EXPECT_TRUE(decode_map(encode(Json::array({1}))).is_null());
  EXPECT_TRUE(decode_map(encode(job_message()).substr(0, 20)).is_null());
}

TEST(AdmissionCheck, TeamTypesAndLimits_DecideTheResult) {
  Settings settings;
  settings.teams.push_back({"t", 0, 0, 4, 8});
  MachineType machine_type;
  machine_type.name = "g", machine_type.cpus = 48, machine_type.gpus = 8,
  machine_type.memory_gb = 100, machine_type.zones = {"a"};
  auto spec = *decode_job(job_message());
  EXPECT_EQ(check_admission(spec, settings, {machine_type}), AdmissionResult::admitted);
  auto other = spec;
  other.team = "nobody";
  EXPECT_EQ(check_admission(other, settings, {machine_type}), AdmissionResult::unknown_team);
  other = spec;
  other.zone = "b";
  EXPECT_EQ(check_admission(other, settings, {machine_type}),
            AdmissionResult::no_fitting_machine_type);
  other = spec;
  other.tasks = 9;
  EXPECT_EQ(check_admission(other, settings, {machine_type}), AdmissionResult::admitted)
      << "only one task of a batch job must be within the limit";
  other.kind = JobKind::service;
  EXPECT_EQ(check_admission(other, settings, {machine_type}), AdmissionResult::over_quota_limit);
  other.kind = JobKind::gang;
  EXPECT_EQ(check_admission(other, settings, {machine_type}), AdmissionResult::over_quota_limit)
      << "all tasks of a gang must be within the limit";
  other.tasks = 8;
  EXPECT_EQ(check_admission(other, settings, {machine_type}), AdmissionResult::admitted);
}

TEST(PeerHeartbeat, EncodedAndDecoded_FieldsUnchangedAndMalformedFramesDetected) {
  PeerHeartbeat heartbeat;
  heartbeat.controller = "n-1", heartbeat.incarnation = 1ull << 51, heartbeat.pending_tasks = 77,
  heartbeat.records_loaded = true, heartbeat.fencing_token = 41;
  heartbeat.echo_ms = 300, heartbeat.newest_number = 9,
  heartbeat.cancelled = {{"run-7", 1500}, {"run-8", 0}};
  auto bytes = encode_peer_heartbeat(heartbeat);
  PeerHeartbeat decoded;
  size_t used = 0;
  ASSERT_EQ(decode_peer_heartbeat(bytes, decoded, used), FrameStatus::complete);
  EXPECT_EQ(used, bytes.size());
  EXPECT_EQ(decoded.incarnation, heartbeat.incarnation);
  EXPECT_EQ(decoded.pending_tasks, 77u);
  EXPECT_TRUE(decoded.records_loaded);
  EXPECT_EQ(decoded.fencing_token, 41u);
  EXPECT_EQ(decoded.echo_ms, 300u);
  EXPECT_EQ(decoded.newest_number, 9u);
  ASSERT_EQ(decoded.cancelled.size(), 2u);
  EXPECT_EQ(decoded.cancelled[0].job, "run-7");
  EXPECT_EQ(decoded.cancelled[0].age_ms, 1500u);
  for (size_t n = 0; n < bytes.size(); ++n)
    EXPECT_EQ(decode_peer_heartbeat(bytes.substr(0, n), decoded, used), FrameStatus::incomplete);
  EXPECT_EQ(decode_peer_heartbeat(std::string(16, '\xff'), decoded, used), FrameStatus::malformed);
  std::string earlier_version = bytes;
  earlier_version[1] = 3;
  EXPECT_EQ(decode_peer_heartbeat(earlier_version, decoded, used), FrameStatus::malformed);
  // Fields that a later version appends are ignored.
  VarintReader frame(bytes);
  std::string body;
  ASSERT_TRUE(frame.text(body));
  body[0] = 5;
  VarintWriter later;
  later.text(body + "more");
  ASSERT_EQ(decode_peer_heartbeat(later.bytes(), decoded, used), FrameStatus::complete);
  EXPECT_EQ(used, later.bytes().size());
  EXPECT_EQ(decoded.cancelled.size(), 2u);
}

TEST(PeerHeartbeat, MachinesOfCancelledJobsAreAppended) {
  PeerHeartbeat heartbeat;
  heartbeat.controller = "n-1";
  heartbeat.cancelled = {{"run-7", 1500}, {"run-8", 0}, {"run-9", 20}, {"run-10", 20}};
  const auto without = encode_peer_heartbeat(heartbeat);
  heartbeat.cancelled[1].machines = PeerHeartbeat::JobMachines{true, {"m1", "m2"}};
  heartbeat.cancelled[2].machines = PeerHeartbeat::JobMachines{false, {"m3"}};
  heartbeat.cancelled[3].machines = PeerHeartbeat::JobMachines{true, {}};
  const auto bytes = encode_peer_heartbeat(heartbeat);
  PeerHeartbeat decoded;
  size_t used = 0;
  ASSERT_EQ(decode_peer_heartbeat(bytes, decoded, used), FrameStatus::complete);
  EXPECT_FALSE(decoded.cancelled[0].machines);
  ASSERT_TRUE(decoded.cancelled[1].machines);
  EXPECT_TRUE(decoded.cancelled[1].machines->complete);
  EXPECT_EQ(decoded.cancelled[1].machines->machines, (std::vector<std::string>{"m1", "m2"}));
  ASSERT_TRUE(decoded.cancelled[2].machines);
  EXPECT_FALSE(decoded.cancelled[2].machines->complete);
  ASSERT_TRUE(decoded.cancelled[3].machines);
  EXPECT_TRUE(decoded.cancelled[3].machines->machines.empty());
  // The version before ends its heartbeats before this field, and ignores what follows.
  VarintReader frame(bytes), frame_without(without);
  std::string body, body_without;
  ASSERT_TRUE(frame.text(body));
  ASSERT_TRUE(frame_without.text(body_without));
  EXPECT_EQ(body.substr(0, body_without.size()), body_without);
  ASSERT_EQ(decode_peer_heartbeat(without, decoded, used), FrameStatus::complete);
  EXPECT_FALSE(decoded.cancelled[1].machines);
  // A field of this kind that can't be read doesn't spoil the rest.
  VarintWriter cut_off;
  cut_off.text(body.substr(0, body.size() - 3));
  ASSERT_EQ(decode_peer_heartbeat(cut_off.bytes(), decoded, used), FrameStatus::complete);
  EXPECT_EQ(decoded.cancelled.size(), 4u);
  EXPECT_FALSE(decoded.cancelled[1].machines);
}

std::string settings_with(const std::string& announced) {
  return R"(node_name = "quay-0"
location = "a"
listen = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
initial_size = 3
zones = ["a"]
clock_off_ms = 25.0
[deployment.workers]
report_s = 1.5
lease_s = 12.0
gang_wait_s = 40.0
gang_peer_s = 6.0
cancel_s = 42.0
[deployment.cloud]
rps = 5.0
list_lag_s = 10.0
[deployment.resources]
max_sockets = 600
[deployment.state]
rps = 150.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 12
)" + announced;
}

TEST(Settings, SeveralProblems_AllNamedWithTheirLines) {
  auto r = parse_settings("node_name = \"a\"\n");
  ASSERT_FALSE(r);
  EXPECT_NE(r.error().find("location"), std::string::npos);
  // The error lists all problems, each on a separate line with its location.
  auto many = parse_settings(settings_with(
      "[deployment.state.next]\nrps = 0\nvalue_kb = \"4\"\n[[known]]\nlocation = 3\n"));
  ASSERT_FALSE(many);
  EXPECT_EQ(many.error(),
            "line 31: known[0].node_name: is missing\n"
            "line 32: known[0].location: must be a text\n"
            "line 31: known[0].endpoint: is missing\n"
            "line 29: deployment.state.next.rps: must be a number from 1 to 1e+12\n"
            "line 30: deployment.state.next.value_kb: must be a number from 1 to 1e+12");
  EXPECT_EQ(Error{"a\nb"}.in("file").text, "file: a\nfile: b");
  auto broken = parse_settings("node_name = \n");
  ASSERT_FALSE(broken);
  EXPECT_NE(broken.error().find("line 1"), std::string::npos);
}

TEST(Settings, LimitsAnnounced_SmallerOnesApply) {
  auto settings = parse_settings(
      settings_with("[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nfuture = 1\n"));
  ASSERT_TRUE(settings) << settings.error();
  EXPECT_EQ(settings->gang_wait_s, 40);
  EXPECT_EQ(settings->state_limits.present().value_kb, 16);
  EXPECT_EQ(settings->state_limits.minimum().value_kb, 2);
  EXPECT_EQ(settings->state_limits.minimum().txn_writes, 4);
  EXPECT_EQ(settings->state_limits.minimum().writes_per_s, 50)
      << "a limit that is not announced stays";
  // An announced higher limit must not apply before it is in force.
  auto raised = parse_settings(settings_with("[deployment.state.next]\nvalue_kb = 64.0\n"));
  ASSERT_TRUE(raised);
  EXPECT_EQ(raised->state_limits.minimum().value_kb, 16);
  auto none = parse_settings(settings_with(""));
  ASSERT_TRUE(none);
  EXPECT_EQ(none->state_limits.minimum().txn_writes, 12);
}

TEST(Settings, AnnouncedLimitsInvalid_ErrorNamesThem) {
  const auto expect_rejected = [](const std::string& announced, const std::string& field) {
    auto s = parse_settings(settings_with(announced));
    ASSERT_FALSE(s) << announced;
    EXPECT_NE(s.error().find("deployment.state.next" + field), std::string::npos) << s.error();
  };
  expect_rejected("next = 3\n", "");
  for (const char* value : {"0", "-1.0", "\"4\"", "nan"})
    for (const char* field : {"value_kb", "txn_ops", "write_rps", "rps"})
      expect_rejected(std::string("[deployment.state.next]\n") + field + " = " + value + "\n",
                      std::string(".") + field);
}

TEST(Catalog, FieldMissing_ErrorNamesTheEntryAndTheField) {
  const Json whole = {{"name", "g8"}, {"cores", 96}, {"memory_gb", 768}};
  for (const char* field : {"name", "cores", "memory_gb"}) {
    Json broken = whole;
    broken.erase(field);
    const auto types = decode_catalog({{"hulls", {whole, broken}}});
    ASSERT_FALSE(types) << field;
    EXPECT_EQ(types.error(),
              "machine type catalogue: hulls[1]." + std::string(field) + " is missing or invalid");
  }
  EXPECT_EQ(decode_catalog(Json()).error(), "machine type catalogue: hulls is missing or no list");
}

TEST(MachineList, NameMissing_ErrorNamesTheEntryAndTheField) {
  const auto list = decode_machine_list({{"vessels", {{{"ref", "i-1"}}, {{"status", "running"}}}}});
  ASSERT_FALSE(list);
  EXPECT_EQ(list.error(), "machine list: vessels[1].ref is missing or invalid");
}

TEST(WorkerHeartbeat, GangStatesAndExitCauses_Decoded) {
  const Json task = {{"hand", "run-1/0"}, {"launch", 2}};
  Json waiting = task, peers = task, alone = task, unknown_state = task, unknown_cause = task;
  waiting["status"] = "waiting";
  peers["status"] = alone["status"] = unknown_cause["status"] = "exited";
  peers["cause"] = "peers";
  alone["cause"] = "alone";
  unknown_cause["cause"] = "something new";
  unknown_state["status"] = "something new";
  auto heartbeat =
      decode_heartbeat({{"vessel", "i-1"},
                        {"address", "10.1.0.1:9000"},
                        {"hull", "g"},
                        {"dock", "a"},
                        {"watch", 1},
                        {"tally", 1},
                        {"hands", {waiting, peers, alone, unknown_state, unknown_cause}}});
  ASSERT_TRUE(heartbeat) << heartbeat.error();
  EXPECT_EQ(heartbeat->tasks[0].state, TaskState::waiting);
  EXPECT_EQ(heartbeat->tasks[1].cause, ExitCause::gang_member_lost);
  EXPECT_EQ(heartbeat->tasks[2].cause, ExitCause::gang_incomplete);
  EXPECT_EQ(heartbeat->tasks[3].state, TaskState::running);
  EXPECT_EQ(heartbeat->tasks[4].cause, ExitCause::error);
}

TEST(Tuning, EntriesInvalid_ErrorsNameTheirLines) {
  auto tuning = parse_tuning("; ours\n(damsonport (straggler-bar 0.7)\n (grant-s 20))");
  ASSERT_TRUE(tuning);
  EXPECT_EQ(tuning->straggler_threshold, 0.7);
  EXPECT_EQ(tuning->shard_lease_s, 20);
  for (const char* text : {"(damsonport\n (nonsense 1))", "(damsonport\n (grant-s x))",
                           "(damsonport\n (grant-s 0))", "(damsonport\n (grant-s 1)"}) {
    auto bad = parse_tuning(text);
    ASSERT_FALSE(bad) << text;
    EXPECT_NE(bad.error().find("line 2"), std::string::npos) << bad.error();
  }
  auto both = parse_tuning("(damsonport (nonsense 1)\n (grant-s x))");
  ASSERT_FALSE(both);
  EXPECT_EQ(both.error(), "line 1: unknown entry 'nonsense'\nline 2: grant-s: expected one number");
}

}  // namespace
}  // namespace damsonport
