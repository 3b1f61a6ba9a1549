/// Delivery of commands to worker agents, and liveness probes, over connections that the shard
/// leader opens itself.
///
/// Commands also travel in the responses to heartbeats; those are made by the heartbeat handler and
/// don't pass through here.
#pragma once
#include <algorithm>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "coordination/machines/machine.hpp"
#include "transport/http.hpp"
#include "transport/loop.hpp"

namespace damsonport {

/// Sends each machine its pending commands (`Machine::pending_commands`), one request at a time for
/// each machine and a bounded number of requests in all.
///
/// Invariants:
/// - A machine is in the queue, or one request to it is in progress, exactly while
///   `Machine::sending` is set (within one lease: see begin_lease()).
/// - Every start command in a request without a response is in `Machine::starts_in_flight`; if the
/// request
///   fails it moves to `Machine::starts_unacknowledged`, because the agent may still receive it.
/// - Commands that could not be delivered are dropped. The next heartbeat of the machine is
///   reconciled with the records, which yields again what is still wanted.
///
/// Each send and each probe is a coroutine of its own, which looks the machine up anew after each
/// wait and does nothing more when the machine is gone or the lease has changed. The dispatcher
/// has to outlive its loop's coroutines.
class CommandDispatcher {
 public:
  /// What the dispatcher needs to know of its shard leader. All are called on the loop's thread,
  /// and none may suspend.
  struct Callbacks {
    /// Fencing token of the latest lease; 0: the lease has gone to another controller.
    std::function<uint64_t()> fencing_token;
    /// Whether the lease is held now.
    std::function<bool()> is_leading;
    /// Null: the machine is not known (any more).
    std::function<Machine*(const std::string& id)> find_machine;
    /// The machine has missed heartbeats and is probably unreachable.
    std::function<bool(const Machine&)> is_suspected;
    /// The command still has a use. Asked right before it is sent, because the records may have
    /// changed since it was made.
    std::function<bool(const Machine&, const Command&)> is_wanted;
    /// The machine did not answer: whether it may be given tasks has to be looked at anew.
    std::function<void(const std::string& id)> on_send_failed;
    /// The machine's status, from a response to a request that was sent at `requested_at`. Returns
    /// the commands that follow from it.
    std::function<std::vector<Command>(Machine&, const Heartbeat&, double requested_at)> on_status;
  };

  CommandDispatcher(Loop& loop, const Settings& settings, HttpClient& http, Callbacks callbacks)
      : loop_(loop), settings_(settings), http_(http), callbacks_(std::move(callbacks)) {}

  /// The most requests that may be in progress at once.
  static int max_concurrent_sends(const Settings& settings) {
    return std::max(min_concurrent_sends, settings.max_sockets / sockets_per_send);
  }

  /// A new lease knows no machines yet: forgets the queue. Requests of the lease before end by
  /// themselves and count against the bounds until then.
  void begin_lease() { queue_.clear(); }
  /// Sends the command, together with others for the machine that come in the same turn of the
  /// loop. Dropped where the machine is suspected or has not sent a heartbeat yet.
  void dispatch(Machine& machine, Command command);
  /// Asks the machine for its status, unless it is being asked already, or too many are.
  void start_probe(const std::string& machine_id);

 private:
  static constexpr int min_concurrent_sends = 8;
  /// Sends get this part of the controller's sockets.
  static constexpr int sockets_per_send = 16;
  static constexpr double min_send_timeout_s = 1.0;

  void enqueue(Machine& machine);
  void start_sends();
  Task<void> send(std::string machine_id);
  Task<void> send_until_empty(std::string machine_id);
  /// The machine's pending commands that are still wanted.
  std::vector<Command> take_wanted_commands(Machine& machine) const;
  Task<HttpReply> post_commands(std::string address, uint64_t agent_epoch,
                                std::vector<Command> commands);
  void handle_missing_response(Machine& machine);
  void handle_response(Machine& machine, const HttpReply& reply, double requested_at);
  Task<void> probe(std::string machine_id);

  Loop& loop_;
  const Settings& settings_;
  HttpClient& http_;
  const Callbacks callbacks_;
  std::deque<std::string> queue_;  ///< Machines with pending commands.
  int sends_in_progress_ = 0;
  std::set<std::string> probes_in_progress_;  ///< By machine.
};

}  // namespace damsonport
