// The published messages, decoded once into the project's own terms. Wire names live here only.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "protocol/result.hpp"

namespace damsonport {

using Json = nlohmann::json;

// Null when the bytes are not one CBOR map.
Json decode_map(const std::string& body);
std::string encode(const Json& value);

// A gang's tasks run only together: all of them at the same time, or none.
enum class JobKind : uint8_t { batch, service, gang };
// Higher is more urgent.
enum class Priority : uint8_t { idle, normal, high, production };

struct JobSpec {
  std::string id, job_class, team;
  JobKind kind = JobKind::batch;
  Priority priority = Priority::normal;
  uint32_t tasks = 1;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  bool one_zone = false, spread = false, spot = false;
  std::string image;
  double image_gb = 0;
  double estimate_s = 0, checkpoint_s = 0, save_s = 0;
  double deadline_s = -1;  // negative: none
  // Time of day of the acceptance; ours, not in the user's message.
  double accepted_at = 0;
  // Tasks that make one replica of a service; ours too, from the operators' file at the acceptance.
  uint32_t parts = 1;
  bool distinct_machines = false;  // no two parts of a replica on one machine

  // A service whose replicas have several parts.
  bool replicated() const { return kind == JobKind::service && parts > 1; }
  // Tasks that start and end as one: all of a gang, or the parts of a replica; 0: each for itself.
  uint32_t gang_size() const {
    if (kind == JobKind::gang) return tasks;
    return replicated() ? parts : 0;
  }
};

// A job's record, which leaves out what is nothing.
Result<JobSpec> decode_job(const Json& m);
// A user's message: only hulls, dock and due_s may be null, and so left out.
Result<JobSpec> decode_submission(const Json& m);
Json encode_job(const JobSpec& spec);
bool valid_job_id(std::string_view id);

// waiting: a gang's task that has its image and waits for the other tasks of its attempt.
enum class TaskState : uint8_t { fetching, running, saving, exited, waiting };
// peers: another task of the gang is gone. alone: the gang was not complete in time.
enum class ExitCause : uint8_t { none, done, stopped, error, no_room, busy, unknown, peers, alone };

// A task is named by its job and index.
struct TaskId {
  std::string job;
  uint32_t index = 0;
  std::string text() const { return job + "/" + std::to_string(index); }
  auto operator<=>(const TaskId&) const = default;
};
bool parse_task_id(std::string_view text, TaskId& out);

struct TaskStatus {
  TaskId task;
  uint64_t attempt = 0;
  TaskState state = TaskState::running;
  ExitCause cause = ExitCause::none;
  bool saved = false;
};

struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  uint64_t agent_epoch = 0, sequence = 0, fencing_token = 0;
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;
  bool newer_than(uint64_t other_session, uint64_t other_seq) const {
    return agent_epoch != other_session ? agent_epoch > other_session : sequence > other_seq;
  }
};
Result<Heartbeat> decode_heartbeat(const Json& m);
// The key of a report's sequence number, as CBOR encodes it.
std::string_view encoded_sequence_key();

struct Command {
  enum class Op : uint8_t { start, stop, remove } op = Op::start;
  TaskId task;
  uint64_t attempt = 0;
  double grace_s = 0;
};
Json encode_commands(const std::vector<Command>& commands);
std::string encode_heartbeat_response(uint64_t fencing_token, const std::vector<Command>& commands);
std::string encode_direct_commands(uint64_t fencing_token, uint64_t agent_epoch,
                                   const std::vector<Command>& commands);
std::string encode_redirect(const std::string& controller);  // empty: no node named

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};
Result<std::vector<MachineType>> decode_catalog(const Json& m);

struct ListedMachine {
  std::string id, address, type, zone, state;
  bool spot = false;
  double age_s = 0;
};
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};
Result<MachineList> decode_machine_list(const Json& m);

struct ScaleOutRequest {
  std::string id, type, zone;
  bool spot = false;
  int count = 0;
};
std::string encode_scale_out_request(const ScaleOutRequest& r);
std::vector<std::string> decode_created_machines(const Json& m);
std::string encode_return(const std::vector<std::string>& machines);

std::string encode_job_status(const std::string& id, std::string_view status);
std::string encode_job_progress(const std::string& id, std::string_view status, uint64_t done,
                                uint64_t running);

}  // namespace damsonport
