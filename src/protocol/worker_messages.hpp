/// Messages between controllers and workers: heartbeats, their responses, and direct commands. Only
/// this module knows the wire names of the fields; the comment of each field gives its wire name in
/// quotes.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/cbor.hpp"
#include "protocol/result.hpp"
#include "protocol/task_id.hpp"

namespace damsonport {

/// State of a task on a machine.
enum class TaskState : uint8_t {
  fetching,  ///< "fetching": the worker downloads the image
  running,   ///< "running"
  saving,    ///< "flushing": a stopped task saves a checkpoint
  exited,    ///< "exited": see ExitCause
  waiting,   ///< "waiting": waits for the other tasks of the gang's attempt
};

/// Reason why a task has exited. The values are stored in records.
enum class ExitCause : uint8_t {
  none,
  done,                    ///< "done": completed
  stopped,                 ///< "stopped": by a command
  error,                   ///< "error": failed, in most cases because of a faulty machine
  insufficient_resources,  ///< "no_room": not started for lack of free resources
  other_attempt_running,   ///< "busy": not started because another attempt of the task is on
                           ///< the machine
  not_found,               ///< "no_such": not started because the worker can't find the job or task
  gang_member_lost,        ///< "peers": another task of the gang was lost
  gang_incomplete,         ///< "alone": not all tasks of the gang started in time
};

/// Status of one task in a heartbeat, an entry of "hands".
struct TaskStatus {
  TaskId task;                           ///< "hand"
  uint64_t attempt = 0;                  ///< "launch"
  TaskState state = TaskState::running;  ///< "status"; unknown states count as running
  ExitCause cause = ExitCause::none;     ///< "cause" of the exit; unknown causes count as error
  bool saved = false;                    ///< "kept": whether the progress was saved at the stop
};

/// The agent epoch in which every worker starts.
constexpr uint64_t first_agent_epoch = 1;

/// Heartbeat with which a worker reports the state of its machine.
struct Heartbeat {
  std::string machine;             ///< "vessel"
  std::string address;             ///< "address": IPV4:PORT of the worker
  std::string type;                ///< "hull": machine type
  std::string zone;                ///< "dock"
  bool spot = false;               ///< "tender": a spot machine
  uint64_t agent_epoch = 0;        ///< "watch": grows when the worker's lease expires
  uint64_t sequence = 0;           ///< "tally": sequence number, grows with each message
  uint64_t fencing_token = 0;      ///< "helm": highest token that the worker has received; 0: none
  std::optional<double> notice_s;  ///< "recall_s": time until the cloud reclaims the machine, s
  std::vector<TaskStatus> tasks;   ///< "hands": all tasks on the machine, including exited tasks

  /// Whether this heartbeat was sent after the message with this agent epoch and sequence number.
  bool newer_than(uint64_t other_epoch, uint64_t other_sequence) const {
    return agent_epoch != other_epoch ? agent_epoch > other_epoch : sequence > other_sequence;
  }
};

/// Decodes a heartbeat. The error text is sent to the worker.
Result<Heartbeat> decode_heartbeat(const Json& map);
/// Returns the CBOR encoding of the name of the field that holds Heartbeat::sequence.
std::string_view encoded_sequence_key();

/// Command to a worker about one task.
struct Command {
  /// Operation of a command.
  enum class Op : uint8_t {
    start,               ///< "run"
    stop,                ///< "halt"
    remove,              ///< "reap": drops an exited task from the heartbeats
  } op = Op::start;      ///< "order"
  TaskId task;           ///< "hand"
  uint64_t attempt = 0;  ///< "launch"
  double grace_s = 0;    ///< "slack_s": time that a stopped task has to save, s
};

/// Encodes a list of commands, in the order in which the worker executes them.
Json encode_commands(const std::vector<Command>& commands);
/// Encodes the response to a heartbeat. A worker ignores a response whose fencing token is lower
/// than one that it has received before.
std::string encode_heartbeat_response(uint64_t fencing_token, const std::vector<Command>& commands);
/// Encodes commands that a controller sends without a heartbeat to respond to. They are valid only
/// in the given agent epoch of the worker.
std::string encode_direct_commands(uint64_t fencing_token, uint64_t agent_epoch,
                                   const std::vector<Command>& commands);
/// Encodes the body of a 421 response, which names the controller that the worker should contact.
/// If `controller` is empty, the body names none.
std::string encode_redirect(const std::string& controller);

}  // namespace damsonport
