// Compatibility of stored records and messages with the released version named in tests/README.md:
// fixtures/landed.records has the records and messages that the released version writes. Each line
// of the file is one test, which decodes the line, encodes the same data, or both, and expects the
// same bytes. A failure means that old and new controllers misread each other's data during a
// rolling upgrade.
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <ostream>

#include "coordination/api/user_api.hpp"
#include "coordination/leadership/version_registry.hpp"
#include "protocol/peer_heartbeat.hpp"
#include "protocol/region_message.hpp"
#include "storage/record_cache.hpp"
#include "transport/event_http.hpp"

namespace damsonport {
namespace {

constexpr uint64_t incarnation = 4503599627370495;
constexpr double accepted_at = 1.7e9;
constexpr double cancelled_at = 1.7e9 + 60.5;
constexpr uint32_t first_chunk_size = 340;
constexpr uint32_t rechunked_chunk_size = 41;

// One line of the fixture. `name` is the key of a record or the name of a message; `value` is the
// JSON text of the record or the bytes of the message in hexadecimal.
struct Line {
  std::string name, value;
};

// GoogleTest prints a line by its name in failures and in the list of tests.
void PrintTo(const Line& line, std::ostream* out) { *out << line.name; }

std::vector<Line> fixture_lines() {
  std::vector<Line> lines;
  std::ifstream in(std::string(FIXTURES_DIR) + "/landed.records");
  for (std::string text; std::getline(in, text);) {
    const size_t tab = text.find('\t');
    lines.push_back({text.substr(0, tab), text.substr(tab + 1)});
  }
  return lines;
}

std::string to_hex(const std::string& bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : bytes) {
    hex += digits[byte >> 4];
    hex += digits[byte & 15];
  }
  return hex;
}

std::string from_hex(const std::string& hex) {
  std::string bytes;
  for (size_t i = 0; i < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return bytes;
}

Json message_of(const Line& line) { return decode_map(from_hex(line.value)); }

// Returns a record's key without its prefix.
std::string key_without_prefix(const Line& line, std::string_view prefix) {
  return line.name.substr(prefix.size());
}

// A RecordCache to which a test applies a record, for record kinds whose decoded content is checked
// through the cache.
struct CacheFixture {
  EventLoop loop;
  RecordCache cache{loop, 0, 50};

  void apply(const Line& line) { cache.apply({line.name, Json::parse(line.value), 1, 0}); }
};

// Records of shards and leadership.

void check_shard_table(const Line& line) {
  ShardTable table;
  table.leases.push_back({"quay-0", incarnation, 77, {}, true});
  table.leases.push_back({"quay-1", 5, 78, {"i-100001", "i-100002"}, false});
  table.renewals = 9;
  EXPECT_EQ(line.name, keys::shard_table);
  EXPECT_EQ(encode_shard_table(table).dump(), line.value);
  EXPECT_EQ(encode_shard_table(decode_shard_table(Json::parse(line.value))).dump(), line.value);
}

void check_leader(const Line& line) {
  EXPECT_EQ(line.name, keys::leader);
  EXPECT_EQ(encode_leader({"quay-0", incarnation}).dump(), line.value);
  EXPECT_EQ(encode_leader(decode_leader(Json::parse(line.value))).dump(), line.value);
}

// Records of jobs and their tasks.

JobSpec job(const std::string& id, JobKind kind, Priority priority, uint32_t tasks) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = "c";
  spec.team = "t";
  spec.kind = kind;
  spec.priority = priority;
  spec.tasks = tasks;
  spec.cpus = 1;
  spec.memory_gb = 1.5;
  spec.image = "img";
  spec.image_gb = 1;
  spec.estimate_s = kind == JobKind::service ? 0 : 30;
  spec.checkpoint_s = kind == JobKind::gang ? 20 : 0;
  spec.save_s = kind == JobKind::gang ? 4 : 0;
  spec.accepted_at = accepted_at;
  return spec;
}

// A job with a different, non-default value in every field.
JobSpec full_job() {
  JobSpec spec;
  spec.id = "run-full";
  spec.job_class = "class";
  spec.team = "team";
  spec.kind = JobKind::batch;
  spec.priority = Priority::production;
  spec.tasks = 7;
  spec.cpus = 2.5;
  spec.gpus = 3;
  spec.memory_gb = 4.25;
  spec.types = {"g8", "c4"};
  spec.zone = "a";
  spec.one_zone = true;
  spec.spread = true;
  spec.spot = true;
  spec.image = "image";
  spec.image_gb = 5;
  spec.estimate_s = 60;
  spec.checkpoint_s = 10;
  spec.save_s = 2;
  spec.deadline_s = 600;
  spec.accepted_at = accepted_at;
  return spec;
}

JobSpec replicated_job() {
  JobSpec spec = job("run-replicas", JobKind::service, Priority::normal, 6);
  spec.parts = 3;
  spec.distinct_machines = true;
  return spec;
}

struct StoredJob {
  JobSpec spec;
  uint32_t chunk_size = first_chunk_size;
  uint32_t chunk_layout = 0;
  bool cancelled = false;
};

std::vector<StoredJob> stored_jobs() {
  return {
      {full_job()},
      {job("run-batch", JobKind::batch, Priority::idle, 400)},
      {job("run-gang", JobKind::gang, Priority::high, 4)},
      {job("run-service", JobKind::service, Priority::normal, 3)},
      {replicated_job()},
      {job("run-cancelled", JobKind::batch, Priority::normal, 5), first_chunk_size, 0, true},
      {job("run-divided", JobKind::batch, Priority::normal, 100), rechunked_chunk_size, 1, false},
  };
}

std::optional<StoredJob> stored_job(const std::string& id) {
  for (const StoredJob& stored : stored_jobs())
    if (stored.spec.id == id) return stored;
  return std::nullopt;
}

Json encode_stored_job(const JobSpec& spec, const StoredJob& stored) {
  Json record = encode_job_record(spec, stored.chunk_size);
  if (stored.chunk_layout > 0) record[fields::chunk_layout] = stored.chunk_layout;
  if (stored.cancelled) {
    record[fields::cancelled] = 1;
    record[fields::cancelled_at] = cancelled_at;
  }
  return record;
}

void check_job(const Line& line) {
  const auto expected = stored_job(key_without_prefix(line, "d/j/"));
  ASSERT_TRUE(expected);
  EXPECT_EQ(line.name, keys::job(expected->spec.id));
  EXPECT_EQ(encode_stored_job(expected->spec, *expected).dump(), line.value);
  const auto decoded = decode_job(Json::parse(line.value));
  ASSERT_TRUE(decoded) << decoded.error();
  EXPECT_EQ(encode_stored_job(*decoded, *expected).dump(), line.value);

  CacheFixture fixture;
  fixture.apply(line);
  const Job* cached = fixture.cache.job(expected->spec.id);
  ASSERT_NE(cached, nullptr);
  EXPECT_EQ(cached->chunk_size, expected->chunk_size);
  EXPECT_EQ(cached->chunk_layout, expected->chunk_layout);
  EXPECT_EQ(cached->cancelled, expected->cancelled);
  if (!cached->cancelled) return;
  constexpr double tolerance_s = 60;  // for the run time of the test
  const double age_s = fixture.loop.unix_time() - cancelled_at;
  EXPECT_NEAR(cached->cancelled_since, fixture.loop.now() - age_s, tolerance_s);
}

TaskChunk live_chunk(uint32_t tasks, uint64_t attempt) {
  TaskChunk record;
  for (uint32_t index = 0; index < tasks; ++index)
    record.start(index, attempt, "i-" + std::to_string(100001 + index));
  return record;
}

TaskChunk waiting_chunk(uint32_t tasks, uint64_t attempt) {
  TaskChunk record = live_chunk(tasks, attempt);
  for (uint32_t index = 0; index < tasks; ++index) record.end_attempt(index, TaskEnd::restart);
  return record;
}

TaskChunk mixed_chunk() {
  TaskChunk record;
  record.next = 10;
  record.live = {{4, 1, "i-100001"},
                 {6, 6, "i-100007"},
                 {7, 7, "i-100008"},
                 {8, 8, "i-100009"},
                 {9, 9, "i-100010"}};
  record.waiting = {{2, 1}, {3, 1}, {5, 0}};
  return record;
}

struct StoredChunk {
  ChunkName name;
  TaskChunk record;
};

std::vector<StoredChunk> stored_chunks() {
  return {
      {{"run-batch", 0, 0}, mixed_chunk()},      {{"run-batch", 0, 1}, live_chunk(2, 1)},
      {{"run-gang", 0, 0}, waiting_chunk(4, 3)}, {{"run-replicas", 0, 0}, live_chunk(6, 2)},
      {{"run-divided", 1, 0}, live_chunk(3, 5)}, {{"run-divided", 1, 2}, waiting_chunk(2, 1)},
  };
}

const StoredChunk* find_chunk(const std::vector<StoredChunk>& chunks, const ChunkName& name) {
  const auto found = std::find_if(chunks.begin(), chunks.end(), [&](const StoredChunk& chunk) {
    return chunk.name.job == name.job && chunk.name.chunk_layout == name.chunk_layout &&
           chunk.name.number == name.number;
  });
  return found == chunks.end() ? nullptr : &*found;
}

void check_chunk(const Line& line) {
  const auto name = parse_chunk_name(key_without_prefix(line, "d/t/"));
  ASSERT_TRUE(name);
  EXPECT_EQ(line.name, keys::chunk(name->job, name->number, name->chunk_layout));
  const auto chunks = stored_chunks();
  const StoredChunk* expected = find_chunk(chunks, *name);
  ASSERT_NE(expected, nullptr);
  EXPECT_EQ(encode_chunk(expected->record).dump(), line.value);
  EXPECT_EQ(encode_chunk(decode_chunk(Json::parse(line.value))).dump(), line.value);
}

void check_final_state(const Line& line) {
  const std::map<std::string, Json> states = {
      {"run-done", encode_final_state(FinalState::done, 5)},
      {"run-aborted", encode_final_state(FinalState::cancelled, 2)}};
  const std::string id = key_without_prefix(line, "f/");
  ASSERT_TRUE(states.contains(id));
  EXPECT_EQ(line.name, keys::final_state(id));
  EXPECT_EQ(states.at(id).dump(), line.value);
}

// Covers every exit cause, because causes are stored as numbers.
void check_forwarded_exits(const Line& line) {
  ForwardedExits expected;
  expected.fencing_token = 77;
  expected.exits = {
      {"i-100001", {"run-batch", 0}, 1, ExitCause::done},
      {"i-100002", {"run-batch", 1}, 2, ExitCause::stopped},
      {"i-100003", {"run-batch", 2}, 3, ExitCause::error},
      {"i-100004", {"run-batch", 3}, 4, ExitCause::insufficient_resources},
      {"i-100005", {"run-batch", 4}, 5, ExitCause::other_attempt_running},
      {"i-100006", {"run-batch", 5}, 6, ExitCause::not_found},
      {"i-100007", {"run-batch", 6}, 7, ExitCause::gang_member_lost},
      {"i-100008", {"run-batch", 7}, 8, ExitCause::gang_incomplete},
  };
  const ForwardedExits decoded = decode_forwarded_exits(Json::parse(line.value));
  EXPECT_EQ(line.name, keys::forwarded_exits("quay-0"));
  EXPECT_EQ(decoded.fencing_token, expected.fencing_token);
  EXPECT_EQ(decoded.exits, expected.exits);
  EXPECT_EQ(encode_forwarded_exits(expected).dump(), line.value);
  EXPECT_EQ(encode_forwarded_exits(decoded).dump(), line.value);
}

// Records of machines.

void check_tombstone(const Line& line) {
  EXPECT_EQ(line.name, keys::tombstone(std::to_string(incarnation) + "-1"));
  CacheFixture fixture;
  fixture.apply(line);
  const std::map<std::string, std::string> expected = {{"i-100001", line.name},
                                                       {"i-100002", line.name}};
  EXPECT_EQ(fixture.cache.tombstones(), expected);
}

void check_scale_out_request(const Line& line) {
  const std::string id = "r-" + std::to_string(incarnation) + "-2";
  EXPECT_EQ(line.name, keys::scale_out_request(id));
  CacheFixture fixture;
  fixture.apply(line);
  ASSERT_EQ(fixture.cache.scale_out_requests().size(), 1u);
  ASSERT_TRUE(fixture.cache.scale_out_requests().contains(id));
  const ScaleOutRequest& request = fixture.cache.scale_out_requests().at(id).request;
  EXPECT_EQ(request.id, id);
  EXPECT_EQ(request.type, "g8");
  EXPECT_EQ(request.zone, "a");
  EXPECT_TRUE(request.spot);
  EXPECT_EQ(request.count, 12);
}

// Records and messages of controllers and regions.

void check_version(const Line& line) {
  EXPECT_EQ(line.name, keys::version("quay-0"));
  CacheFixture fixture;
  fixture.apply(line);
  const std::map<std::string, uint64_t> expected = {{"quay-0", 3}};
  EXPECT_EQ(fixture.cache.versions(), expected);
  EXPECT_GE(VersionRegistry::current, 3u);
}

void check_quota(const Line& line) {
  const QuotaRecord expected{{total_quota_units, total_quota_units / 2},
                             {{"south", {1, 2}}},
                             {{"south", {3, 4}}, {"west", {5, 6}}}};
  const QuotaRecord decoded = decode_quota(Json::parse(line.value));
  EXPECT_EQ(line.name, keys::quota("team"));
  EXPECT_EQ(decoded, expected);
  EXPECT_EQ(encode_quota(expected).dump(), line.value);
  EXPECT_EQ(encode_quota(decoded).dump(), line.value);
}

PeerHeartbeat expected_peer_heartbeat() {
  PeerHeartbeat heartbeat;
  heartbeat.controller = "quay-0";
  heartbeat.incarnation = incarnation;
  heartbeat.state_age_ms = 120;
  heartbeat.pending_tasks = 7;
  heartbeat.records_loaded = true;
  heartbeat.misrouted_machines = 3;
  heartbeat.writes_per_s = 200;
  heartbeat.fencing_token = 77;
  heartbeat.sent_ms = 1000123;
  heartbeat.echo_incarnation = 4503599627370400;
  heartbeat.echo_ms = 2000456;
  heartbeat.received_upto = 11;
  heartbeat.listed_after = 12;
  heartbeat.listed_upto = 14;
  heartbeat.newest_number = 15;
  heartbeat.cancelled = {{"run-8", 1500}, {"run-9", 0}};
  return heartbeat;
}

void check_peer_heartbeat(const Line& line) {
  const std::string bytes = from_hex(line.value);
  PeerHeartbeat decoded;
  size_t used = 0;
  ASSERT_EQ(decode_peer_heartbeat(bytes, decoded, used), FrameStatus::complete);
  EXPECT_EQ(used, bytes.size());
  EXPECT_EQ(to_hex(encode_peer_heartbeat(decoded)), line.value);
  EXPECT_EQ(to_hex(encode_peer_heartbeat(expected_peer_heartbeat())), line.value);
}

void check_region_message(const Line& line) {
  RegionMessage expected{"north", "south", "quay-0", 77, 8, {}};
  expected.teams.push_back(
      {"team", {1, 2}, {3, 4}, {5, 6}, {7, 8}, {9, 10}, {11, total_quota_units}});
  expected.teams.push_back({"idle", {}, {}, {}, {}, {}, {}});
  const std::string bytes = from_hex(line.value);
  RegionMessage decoded;
  size_t used = 0;
  ASSERT_EQ(decode_region_message(bytes, decoded, used), FrameStatus::complete);
  EXPECT_EQ(used, bytes.size());
  EXPECT_EQ(to_hex(encode_region_message(decoded)), line.value);
  EXPECT_EQ(to_hex(encode_region_message(expected)), line.value);
}

// Messages that controllers only encode.

std::vector<Command> commands_of_every_kind() {
  return {{Command::Op::start, {"run-1", 4}, 2, 0},
          {Command::Op::stop, {"run-2", 1}, 1, 10.5},
          {Command::Op::remove, {"run-3", 0}, 300, 0}};
}

void check_heartbeat_response(const Line& line) {
  EXPECT_EQ(to_hex(encode_heartbeat_response(77, commands_of_every_kind())), line.value);
}

void check_heartbeat_response_without_commands(const Line& line) {
  EXPECT_EQ(to_hex(encode_heartbeat_response(77, {})), line.value);
}

void check_direct_commands(const Line& line) {
  EXPECT_EQ(to_hex(encode_direct_commands(77, 6, commands_of_every_kind())), line.value);
}

void check_redirect_to_controller(const Line& line) {
  EXPECT_EQ(to_hex(encode_redirect("quay-2")), line.value);
}

void check_redirect_to_any_controller(const Line& line) {
  EXPECT_EQ(to_hex(encode_redirect("")), line.value);
}

void check_job_status(const Line& line) {
  EXPECT_EQ(to_hex(encode_job_status("run-1", "queued")), line.value);
}

void check_job_progress(const Line& line) {
  EXPECT_EQ(to_hex(encode_job_progress("run-1", "running", 3, 300)), line.value);
}

void check_bad_request(const Line& line) {
  EXPECT_EQ(to_hex(bad_request("cores is missing or invalid").body), line.value);
}

void check_scale_out_message(const Line& line) {
  EXPECT_EQ(to_hex(encode_scale_out_request({"r-17", "g8", "a", true, 12})), line.value);
}

void check_machine_return(const Line& line) {
  EXPECT_EQ(to_hex(encode_return_request({"i-100001", "i-100002"})), line.value);
}

// Messages that controllers only decode.

struct ExpectedTask {
  TaskState state;
  ExitCause cause;
  bool saved;
};

// The states of the reported tasks, by index; the task with index n is in attempt n + 1.
constexpr ExpectedTask expected_tasks[] = {
    {TaskState::fetching, ExitCause::none, false},
    {TaskState::running, ExitCause::none, false},
    {TaskState::saving, ExitCause::none, false},
    {TaskState::waiting, ExitCause::none, false},
    {TaskState::exited, ExitCause::done, false},
    {TaskState::exited, ExitCause::stopped, false},
    {TaskState::exited, ExitCause::error, false},
    {TaskState::exited, ExitCause::insufficient_resources, false},
    {TaskState::exited, ExitCause::other_attempt_running, false},
    {TaskState::exited, ExitCause::not_found, false},
    {TaskState::exited, ExitCause::gang_member_lost, false},
    {TaskState::exited, ExitCause::gang_incomplete, false},
    {TaskState::exited, ExitCause::stopped, true},
};

void check_machine_of_heartbeat(const Heartbeat& heartbeat) {
  EXPECT_EQ(heartbeat.machine, "i-100001");
  EXPECT_EQ(heartbeat.address, "10.1.0.1:9000");
  EXPECT_EQ(heartbeat.type, "g8");
  EXPECT_EQ(heartbeat.zone, "a");
  EXPECT_EQ(heartbeat.agent_epoch, 6u);
  EXPECT_EQ(heartbeat.sequence, 300u);
  EXPECT_EQ(heartbeat.fencing_token, 77u);
}

void check_tasks_of_heartbeat(const Heartbeat& heartbeat) {
  ASSERT_EQ(heartbeat.tasks.size(), std::size(expected_tasks));
  for (uint32_t index = 0; index < heartbeat.tasks.size(); ++index) {
    const TaskStatus& task = heartbeat.tasks[index];
    EXPECT_EQ(task.task, (TaskId{"run-1", index}));
    EXPECT_EQ(task.attempt, index + 1);
    EXPECT_EQ(task.state, expected_tasks[index].state) << index;
    EXPECT_EQ(task.cause, expected_tasks[index].cause) << index;
    EXPECT_EQ(task.saved, expected_tasks[index].saved) << index;
  }
}

void check_worker_heartbeat(const Line& line) {
  EXPECT_NE(from_hex(line.value).find(encoded_sequence_key()), std::string::npos);
  const auto heartbeat = decode_heartbeat(message_of(line));
  ASSERT_TRUE(heartbeat) << heartbeat.error();
  check_machine_of_heartbeat(*heartbeat);
  check_tasks_of_heartbeat(*heartbeat);
  EXPECT_TRUE(heartbeat->spot);
  EXPECT_EQ(heartbeat->notice_s, 120.5);
}

void check_heartbeat_of_an_idle_machine(const Line& line) {
  const auto heartbeat = decode_heartbeat(message_of(line));
  ASSERT_TRUE(heartbeat) << heartbeat.error();
  check_machine_of_heartbeat(*heartbeat);
  EXPECT_TRUE(heartbeat->tasks.empty());
  EXPECT_FALSE(heartbeat->spot);
  EXPECT_FALSE(heartbeat->notice_s);
}

// Compares all fields by comparing the stored forms of the jobs.
void check_submitted_job(const Line& line, const JobSpec& expected) {
  const auto decoded = decode_submission(message_of(line));
  ASSERT_TRUE(decoded) << decoded.error();
  EXPECT_EQ(encode_job(*decoded).dump(), encode_job(expected).dump());
}

void check_submission(const Line& line) {
  JobSpec expected = full_job();
  expected.accepted_at = 0;
  check_submitted_job(line, expected);
}

void check_submission_with_nulls(const Line& line) {
  JobSpec expected = full_job();
  expected.accepted_at = 0;
  expected.types.clear();
  expected.zone.clear();
  expected.deadline_s.reset();
  expected.one_zone = false;
  expected.spread = false;
  expected.spot = false;
  check_submitted_job(line, expected);
}

void check_catalog(const Line& line) {
  const auto types = decode_catalog(message_of(line));
  ASSERT_TRUE(types) << types.error();
  ASSERT_EQ(types->size(), 1u);
  const MachineType& type = types->front();
  EXPECT_EQ(type.name, "g8");
  EXPECT_EQ(type.cpus, 96);
  EXPECT_EQ(type.gpus, 8);
  EXPECT_EQ(type.memory_gb, 768);
  EXPECT_EQ(type.cache_gb, 200);
  EXPECT_EQ(type.fetch_gb_per_s, 1.5);
  EXPECT_EQ(type.price, 12);
  EXPECT_EQ(type.spot_price, 4.5);
  EXPECT_EQ(type.boot_s, 45);
  EXPECT_EQ(type.zones, (std::vector<std::string>{"a", "b"}));
}

void check_machine_list(const Line& line) {
  const auto list = decode_machine_list(message_of(line));
  ASSERT_TRUE(list) << list.error();
  EXPECT_TRUE(list->more);
  ASSERT_EQ(list->machines.size(), 1u);
  const ListedMachine& machine = list->machines.front();
  EXPECT_EQ(machine.id, "i-100001");
  EXPECT_EQ(machine.address, "10.1.0.1:9000");
  EXPECT_EQ(machine.type, "g8");
  EXPECT_EQ(machine.zone, "a");
  EXPECT_EQ(machine.state, "running");
  EXPECT_TRUE(machine.spot);
  EXPECT_EQ(machine.age_s, 30.5);
}

void check_created_machines(const Line& line) {
  EXPECT_EQ(decode_created_machines(message_of(line)),
            (std::vector<std::string>{"i-100001", "i-100002"}));
}

// The kinds of lines, with the number of lines of each kind in the file. A name that ends with a
// slash is the prefix of a record's key; any other name is the whole name of a line.
struct LineKind {
  std::string_view name;
  size_t lines;
  void (*check)(const Line& line);
};

constexpr LineKind line_kinds[] = {
    {"d/b", 1, check_shard_table},
    {"d/l", 1, check_leader},
    {"d/j/", 7, check_job},
    {"d/t/", 6, check_chunk},
    {"d/m/", 1, check_tombstone},
    {"d/r/", 1, check_scale_out_request},
    {"d/v/", 1, check_version},
    {"d/e/", 1, check_forwarded_exits},
    {"d/q/", 1, check_quota},
    {"f/", 2, check_final_state},
    {"heartbeat", 1, check_peer_heartbeat},
    {"region_message", 1, check_region_message},
    {"job_status", 1, check_job_status},
    {"job_progress", 1, check_job_progress},
    {"bad_request", 1, check_bad_request},
    {"report_answer", 1, check_heartbeat_response},
    {"report_answer_without_commands", 1, check_heartbeat_response_without_commands},
    {"direct_commands", 1, check_direct_commands},
    {"report_to_node", 1, check_redirect_to_controller},
    {"report_to_any_node", 1, check_redirect_to_any_controller},
    {"rental_request", 1, check_scale_out_message},
    {"machine_return", 1, check_machine_return},
    {"report", 1, check_worker_heartbeat},
    {"report_of_an_idle_machine", 1, check_heartbeat_of_an_idle_machine},
    {"submission", 1, check_submission},
    {"submission_with_nulls", 1, check_submission_with_nulls},
    {"catalogue", 1, check_catalog},
    {"machine_list", 1, check_machine_list},
    {"rented_machines", 1, check_created_machines},
};

bool has_kind(const Line& line, const LineKind& kind) {
  return kind.name.ends_with('/') ? line.name.starts_with(kind.name) : line.name == kind.name;
}

const LineKind* find_kind(const Line& line) {
  const auto* found = std::find_if(std::begin(line_kinds), std::end(line_kinds),
                                   [&](const LineKind& kind) { return has_kind(line, kind); });
  return found == std::end(line_kinds) ? nullptr : found;
}

class FixtureLine : public testing::TestWithParam<Line> {};

// Test names may contain only letters, digits and underscores.
std::string test_name(const testing::TestParamInfo<Line>& info) {
  std::string name = info.param.name;
  std::replace_if(
      name.begin(), name.end(), [](unsigned char c) { return !std::isalnum(c); }, '_');
  return name;
}

TEST_P(FixtureLine, DecodedAndEncoded_IsUnchanged) {
  const LineKind* kind = find_kind(GetParam());
  ASSERT_NE(kind, nullptr) << "no check for a line of this kind";
  kind->check(GetParam());
}

INSTANTIATE_TEST_SUITE_P(StoredData, FixtureLine, testing::ValuesIn(fixture_lines()), test_name);

TEST(StoredData, WholeFile_HasEveryKindOfLine) {
  const auto lines = fixture_lines();
  for (const LineKind& kind : line_kinds) {
    const auto count = std::count_if(lines.begin(), lines.end(),
                                     [&](const Line& line) { return has_kind(line, kind); });
    EXPECT_EQ(static_cast<size_t>(count), kind.lines) << kind.name;
  }
}

TEST(StoredData, UnknownName_HasNoCheck) {
  for (const char* name : {"d/z/new", "d/bx", "reports", ""})
    EXPECT_EQ(find_kind({name, "{}"}), nullptr) << name;
}

// A chunk of a later layout that is read before its job must be attached when the job is read, and
// must not count as orphaned.
TEST(StoredData, ChunkOfLaterLayoutReadBeforeItsJob_IsTakenByTheJob) {
  CacheFixture fixture;
  auto lines = fixture_lines();
  std::reverse(lines.begin(), lines.end());
  for (const Line& line : lines)
    if (line.name.find("run-divided") != std::string::npos) fixture.apply(line);
  const Job* job = fixture.cache.job("run-divided");
  ASSERT_NE(job, nullptr);
  EXPECT_EQ(job->chunks.size(), 2u);
  EXPECT_EQ(job->live, 3u);
  EXPECT_EQ(job->done, 0u);
  EXPECT_TRUE(fixture.cache.orphaned_chunks().empty());
}

}  // namespace
}  // namespace damsonport
