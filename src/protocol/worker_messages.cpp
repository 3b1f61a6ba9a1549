#include "protocol/worker_messages.hpp"

namespace damsonport {

namespace {

/// Field names in the messages of workers.
namespace wire {
constexpr const char* machine = "vessel";
constexpr const char* address = "address";
constexpr const char* type = "hull";
constexpr const char* zone = "dock";
constexpr const char* spot = "tender";
constexpr const char* agent_epoch = "watch";
constexpr const char* sequence = "tally";
constexpr const char* fencing_token = "helm";
constexpr const char* notice_s = "recall_s";
constexpr const char* tasks = "hands";
constexpr const char* task = "hand";
constexpr const char* attempt = "launch";
constexpr const char* state = "status";
constexpr const char* cause = "cause";
constexpr const char* saved = "kept";
constexpr const char* commands = "orders";
constexpr const char* op = "order";
constexpr const char* grace_s = "slack_s";
constexpr const char* controller = "harbour";

/// Names of the enumerators, in the order of their values.
constexpr std::string_view states[] = {"fetching", "running", "flushing", "exited", "waiting"};
constexpr std::string_view causes[] = {"",     "done",    "stopped", "error", "no_room",
                                       "busy", "no_such", "peers",   "alone"};
constexpr std::string_view ops[] = {"run", "halt", "reap"};
}  // namespace wire

constexpr size_t max_machine_name_bytes = 200;

// Returns false if a required field is missing or invalid.
bool decode_task_status(const Json& map, TaskStatus& out) {
  std::string task;
  std::string state;
  if (!map.is_object() || !cbor::read(map, wire::task, task) || !parse_task_id(task, out.task) ||
      !cbor::read(map, wire::attempt, out.attempt) || !cbor::read(map, wire::state, state))
    return false;
  // A task in an unknown state still uses resources of the machine, so it counts as running.
  if (!cbor::parse_enum(wire::states, state, out.state)) out.state = TaskState::running;
  if (out.state == TaskState::exited && !cbor::read_enum(map, wire::cause, wire::causes, out.cause))
    out.cause = ExitCause::error;
  cbor::read_optional(map, wire::saved, out.saved);
  return true;
}

Json encode_command(const Command& command) {
  Json map = {{wire::task, command.task.text()},
              {wire::attempt, command.attempt},
              {wire::op, wire::ops[static_cast<size_t>(command.op)]}};
  if (command.op == Command::Op::stop) map[wire::grace_s] = command.grace_s;
  return map;
}

}  // namespace

Result<Heartbeat> decode_heartbeat(const Json& map) {
  Heartbeat out;
  if (!cbor::read(map, wire::machine, out.machine) || out.machine.empty() ||
      out.machine.size() > max_machine_name_bytes)
    return Error{wire::machine};
  if (!cbor::read(map, wire::address, out.address) || !cbor::read(map, wire::type, out.type) ||
      !cbor::read(map, wire::zone, out.zone) || !cbor::read_optional(map, wire::spot, out.spot) ||
      !cbor::read(map, wire::agent_epoch, out.agent_epoch) ||
      !cbor::read(map, wire::sequence, out.sequence))
    return Error{"a field of the report is missing or invalid"};
  if (!cbor::read_optional(map, wire::fencing_token, out.fencing_token))
    return Error{wire::fencing_token};
  double notice_s = 0;
  if (cbor::read(map, wire::notice_s, notice_s)) out.notice_s = notice_s;
  const auto* tasks = cbor::find(map, wire::tasks);
  if (!tasks) return out;
  if (!tasks->is_array()) return Error{wire::tasks};
  out.tasks.reserve(tasks->size());
  for (const auto& task : *tasks) {
    if (!decode_task_status(task, out.tasks.emplace_back()))
      return Error{"a field of a task is missing or invalid"};
  }
  return out;
}

std::string_view encoded_sequence_key() {
  static const std::string key = encode(wire::sequence);
  return key;
}

Json encode_commands(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const auto& command : commands) list.push_back(encode_command(command));
  return list;
}

std::string encode_heartbeat_response(uint64_t fencing_token,
                                      const std::vector<Command>& commands) {
  return encode(
      {{wire::fencing_token, fencing_token}, {wire::commands, encode_commands(commands)}});
}

std::string encode_direct_commands(uint64_t fencing_token, uint64_t agent_epoch,
                                   const std::vector<Command>& commands) {
  return encode({{wire::fencing_token, fencing_token},
                 {wire::agent_epoch, agent_epoch},
                 {wire::commands, encode_commands(commands)}});
}

std::string encode_redirect(const std::string& controller) {
  Json map = Json::object();
  if (!controller.empty()) map[wire::controller] = controller;
  return encode(map);
}

}  // namespace damsonport
