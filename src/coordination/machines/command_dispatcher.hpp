/// Sends commands and liveness probes to workers over connections that the shard leader opens
/// itself.
///
/// Commands are also delivered in the responses to heartbeats; the heartbeat handler creates those
/// responses without the dispatcher.
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
/// - Every start command in a request without a response is in `Machine::starts_in_flight`. Every
///   one that was sent is in `Machine::starts_in_requests`, whether or not it was answered, because
///   the worker may still receive it or a copy of it.
/// - Undelivered commands are dropped. Reconciling the machine's next heartbeat with the records
///   generates again the commands that are still needed.
///
/// Each send and each probe is a separate coroutine. After each wait the coroutine looks up the
/// machine again, and ends if the machine was removed or the lease has changed. The dispatcher must
/// outlive the coroutines of its loop.
class CommandDispatcher {
 public:
  /// Queries and notifications to the shard leader. All are called on the loop's thread, and none
  /// may suspend.
  struct Callbacks {
    /// First fencing token of the latest lease; 0 if another controller has acquired the lease.
    std::function<uint64_t()> fencing_token;
    /// The fencing token of the next request to the machine, which carries these commands.
    std::function<uint64_t(Machine&, const std::vector<Command>&)> take_message_token;
    /// Whether this controller holds the lease.
    std::function<bool()> is_leading;
    /// Returns null if the machine is unknown or was removed.
    std::function<Machine*(const std::string& id)> find_machine;
    /// Whether the machine has missed heartbeats and is probably unreachable.
    std::function<bool(const Machine&)> is_suspected;
    /// Whether the command is still needed. Called right before the command is sent, because the
    /// records may have changed since its creation.
    std::function<bool(const Machine&, const Command&)> is_needed;
    /// The machine did not respond, so the leader has to check again whether the machine is
    /// schedulable.
    std::function<void(const std::string& id)> on_send_failed;
    /// The machine, which had left requests unanswered, can be reached again.
    std::function<void(const std::string& id)> on_reachable_again;
    /// Processes the machine's status from a response to a request that was sent at
    /// `requested_at`. Returns the commands that result from reconciling the status.
    std::function<std::vector<Command>(Machine&, const Heartbeat&, double requested_at)> on_status;
  };

  CommandDispatcher(Loop& loop, const Settings& settings, HttpClient& http, Callbacks callbacks)
      : loop_(loop), settings_(settings), http_(http), callbacks_(std::move(callbacks)) {}

  /// Maximum number of concurrent requests with commands.
  static int max_concurrent_sends(const Settings& settings) {
    return std::max(min_concurrent_sends, settings.max_sockets / sockets_per_send);
  }

  /// Starts a new lease, which knows no machines yet, by clearing the queue. Requests of the
  /// previous lease continue until their response or timeout and count against the limits until
  /// then.
  void begin_lease() { queue_.clear(); }
  /// Sends the command in one request with the other commands for the machine that are dispatched
  /// in the same iteration of the loop. The command is dropped if the machine is suspected or has
  /// not sent a heartbeat yet.
  void dispatch(Machine& machine, Command command);
  /// Requests the machine's status, unless a probe of this machine or the maximum number of probes
  /// is in progress. The status shows that the machine can be reached. A probe without a response
  /// doesn't count as a failed send.
  void start_probe(const std::string& machine_id);
  /// The machine has answered a probe, or is known to receive the responses to its heartbeats. If
  /// it had left commands unanswered, it is included again, but not before the end of an exclusion
  /// that doubles each time, up to a worker's lease, until it answers a command.
  void note_reachable(Machine& machine);

 private:
  static constexpr int min_concurrent_sends = 8;
  /// One concurrent send is allowed for this many sockets of the controller.
  static constexpr int sockets_per_send = 16;
  static constexpr double min_send_timeout_s = 1.0;

  void enqueue(Machine& machine);
  void start_sends();
  Task<void> send(std::string machine_id);
  Task<void> send_until_empty(std::string machine_id);
  /// Removes the machine's pending commands and returns those that are still needed.
  std::vector<Command> take_needed_commands(Machine& machine) const;
  Task<HttpClientResponse> post_commands(std::string address, std::string body);
  /// Notes the start commands and encodes the request.
  std::string encode_request(Machine& machine, const std::vector<Command>& commands) const;
  void handle_missing_response(Machine& machine);
  void clear_failed_sends(Machine& machine);
  void handle_response(Machine& machine, const HttpClientResponse& reply, double requested_at);
  Task<void> probe(std::string machine_id);

  Loop& loop_;
  const Settings& settings_;
  HttpClient& http_;
  const Callbacks callbacks_;
  std::deque<std::string> queue_;  ///< ids of machines with pending commands
  int sends_in_progress_ = 0;
  std::set<std::string> probes_in_progress_;  ///< ids of machines
};

}  // namespace damsonport
