/// Messages between controllers and workers: heartbeats, their responses, and direct commands. Wire
/// names are mapped to the project's terms here only; they stand in quotes behind each field.
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

enum class TaskState : uint8_t {
  fetching,  ///< "fetching": waits for its image
  running,   ///< "running"
  saving,    ///< "flushing": was stopped and saves a checkpoint
  exited,    ///< "exited": see ExitCause
  waiting,   ///< "waiting": a gang's task that waits for the others of its attempt
};

enum class ExitCause : uint8_t {
  none,
  done,                    ///< "done": completed
  stopped,                 ///< "stopped": by a command
  error,                   ///< "error": failed, mostly because of a faulty machine
  insufficient_resources,  ///< "no_room": not started, for want of free resources
  other_attempt_running,   ///< "busy": not started, since another attempt of the task is on the
                           ///< machine
  not_found,               ///< "no_such": not started, since the worker finds no such job or task
  gang_member_lost,        ///< "peers": another task of the gang is gone
  gang_incomplete,         ///< "alone": the gang was not complete in time
};

/// One entry of a heartbeat's "hands".
struct TaskStatus {
  TaskId task;                           ///< "hand"
  uint64_t attempt = 0;                  ///< "launch"
  TaskState state = TaskState::running;  ///< "status"; one that is not known counts as running
  ExitCause cause = ExitCause::none;     ///< "cause", of an exited task; not known: error
  bool saved = false;                    ///< "kept": its progress was saved when it was stopped
};

/// What a worker reports of its machine.
struct Heartbeat {
  std::string machine;             ///< "vessel"
  std::string address;             ///< "address": IPV4:PORT of the worker
  std::string type;                ///< "hull": machine type
  std::string zone;                ///< "dock"
  bool spot = false;               ///< "tender": a spot machine
  uint64_t agent_epoch = 0;        ///< "watch": from 1, grows when the worker's lease expires
  uint64_t sequence = 0;           ///< "tally": grows with each message of the worker
  uint64_t fencing_token = 0;      ///< "helm": the highest that the worker has seen; 0: none
  std::optional<double> notice_s;  ///< "recall_s": until the cloud takes the machine, s
  std::vector<TaskStatus> tasks;   ///< "hands": all tasks on the machine, exited ones too

  /// Whether it was sent after the message with these numbers.
  bool newer_than(uint64_t other_epoch, uint64_t other_sequence) const {
    return agent_epoch != other_epoch ? agent_epoch > other_epoch : sequence > other_sequence;
  }
};

/// The error goes to the worker.
Result<Heartbeat> decode_heartbeat(const Json& map);
/// The name of the field that holds Heartbeat::sequence, as CBOR encodes it.
std::string_view encoded_sequence_key();

/// An instruction to a worker about one task.
struct Command {
  enum class Op : uint8_t {
    start,               ///< "run"
    stop,                ///< "halt"
    remove,              ///< "reap": the exited task leaves the heartbeats
  } op = Op::start;      ///< "order"
  TaskId task;           ///< "hand"
  uint64_t attempt = 0;  ///< "launch"
  double grace_s = 0;    ///< "slack_s", for a stop: the time that the task may take to save, s
};

/// The list of the commands, in the order in which the worker executes them.
Json encode_commands(const std::vector<Command>& commands);
/// Response to a heartbeat; the worker drops one with a lower token than it has seen.
std::string encode_heartbeat_response(uint64_t fencing_token, const std::vector<Command>& commands);
/// Commands that a controller sends by itself, valid in one epoch of the worker only.
std::string encode_direct_commands(uint64_t fencing_token, uint64_t agent_epoch,
                                   const std::vector<Command>& commands);
/// Body of a 421: the controller that the worker should turn to; empty: none is named.
std::string encode_redirect(const std::string& controller);

}  // namespace damsonport
