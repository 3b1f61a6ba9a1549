#include "coordination/machines/command_dispatcher.hpp"

#include <spdlog/spdlog.h>

namespace damsonport {

void CommandDispatcher::dispatch(Machine& machine, Command command) {
  machine.pending_commands.push_back(std::move(command));
  enqueue(machine);
}

void CommandDispatcher::enqueue(Machine& machine) {
  if (machine.sending || machine.agent_epoch == 0 || machine.pending_commands.empty()) return;
  // The response to the machine's next heartbeat carries the commands that are still needed. Until
  // then no socket waits for a response of a suspected machine.
  if (callbacks_.is_suspected(machine)) return machine.pending_commands.clear();
  machine.sending = true;
  queue_.push_back(machine.id);
  start_sends();
}

// The number of sends is limited, so that commands to many unreachable machines leave enough
// sockets for users, other workers and the key-value store.
void CommandDispatcher::start_sends() {
  while (sends_in_progress_ < max_concurrent_sends(settings_) && !queue_.empty()) {
    ++sends_in_progress_;
    loop_.spawn("commands", send(std::move(queue_.front())));
    queue_.pop_front();
  }
}

Task<void> CommandDispatcher::send(std::string machine_id) {
  // The commands of the rest of this loop iteration join the request.
  co_await Sleep(loop_, 0, {});
  co_await send_until_empty(std::move(machine_id));
  --sends_in_progress_;
  start_sends();
}

std::vector<Command> CommandDispatcher::take_needed_commands(Machine& machine) const {
  auto commands = std::exchange(machine.pending_commands, {});
  std::erase_if(commands,
                [&](const Command& command) { return !callbacks_.is_needed(machine, command); });
  return commands;
}

std::string CommandDispatcher::encode_request(Machine& machine,
                                              const std::vector<Command>& commands) const {
  const uint64_t token = callbacks_.take_message_token(machine, commands);
  for (auto& command : commands) {
    log_command(command, machine, token, "in a request");
    if (command.op != Command::Op::start) continue;
    const AttemptKey key{command.task, command.attempt};
    machine.starts_in_flight.insert(key);
    machine.starts_in_requests[key] = token;
  }
  return encode_direct_commands(token, machine.agent_epoch, commands);
}

Task<HttpClientResponse> CommandDispatcher::post_commands(std::string address, std::string body) {
  Endpoint endpoint;
  if (!parse_endpoint(address, endpoint)) co_return HttpClientResponse{};
  co_return co_await http_.request(endpoint, Method::post, "/commands", std::move(body),
                                   std::max(min_send_timeout_s, settings_.heartbeat_interval_s));
}

Task<void> CommandDispatcher::send_until_empty(std::string machine_id) {
  for (;;) {
    Machine* machine = callbacks_.find_machine(machine_id);
    if (!machine) co_return;
    auto commands = take_needed_commands(*machine);
    if (commands.empty() || !callbacks_.is_leading()) {
      machine->sending = false;
      co_return;
    }
    const uint64_t agent_epoch = machine->agent_epoch;
    const uint64_t fencing_token = callbacks_.fencing_token();
    const double requested_at = loop_.now();
    std::string body = encode_request(*machine, commands);
    const HttpClientResponse reply = co_await post_commands(machine->address, std::move(body));
    machine = callbacks_.find_machine(machine_id);
    if (!machine || fencing_token != callbacks_.fencing_token()) co_return;
    if (machine->agent_epoch == agent_epoch)
      for (auto& command : commands)
        machine->starts_in_flight.erase({command.task, command.attempt});
    if (!reply.answered()) {
      handle_missing_response(*machine);
      co_return;
    }
    handle_response(*machine, reply, requested_at);
  }
}

void CommandDispatcher::handle_missing_response(Machine& machine) {
  if (machine.failed_sends == 0) machine.unanswered_since = loop_.now();
  ++machine.failed_sends;
  callbacks_.on_send_failed(machine.id);
  machine.sending = false;
  machine.pending_commands.clear();
  spdlog::debug("{} does not answer commands", machine.id);
  if (machine.failed_sends == Machine::max_failed_sends)
    spdlog::info("{} gets no new tasks until it answers: {} requests failed in a row", machine.id,
                 machine.failed_sends);
}

void CommandDispatcher::note_reachable(Machine& machine) {
  if (machine.answers_requests() || !machine.may_be_included(loop_.now())) return;
  machine.exclusion_s = std::min(std::max(2 * machine.exclusion_s, settings_.heartbeat_interval_s),
                                 settings_.lease_s);
  clear_failed_sends(machine);
}

void CommandDispatcher::clear_failed_sends(Machine& machine) {
  const bool was_excluded = !machine.answers_requests();
  machine.failed_sends = 0;
  if (!was_excluded) return;
  spdlog::info("{} can be reached again", machine.id);
  callbacks_.on_reachable_again(machine.id);
}

void CommandDispatcher::handle_response(Machine& machine, const HttpClientResponse& reply,
                                        double requested_at) {
  machine.exclusion_s = 0;
  machine.unanswered_probes = 0;
  clear_failed_sends(machine);
  const auto status = decode_heartbeat(decode_map(reply.body));
  if (!status || status->machine != machine.id) return;
  // Only removals are sent at once. Other commands wait for the next heartbeat: the response to a
  // stop, for example, may still show the task as saving.
  for (auto& command : callbacks_.on_status(machine, *status, requested_at))
    if (reply.status == 200 && command.op == Command::Op::remove)
      machine.pending_commands.push_back(command);
}

void CommandDispatcher::start_probe(const std::string& machine_id) {
  const auto max_probes = static_cast<size_t>(max_concurrent_sends(settings_)) / 2;
  if (probes_in_progress_.contains(machine_id) || probes_in_progress_.size() >= max_probes) return;
  loop_.spawn("probe", probe(machine_id));
}

Task<void> CommandDispatcher::probe(std::string machine_id) {
  Machine* machine = callbacks_.find_machine(machine_id);
  Endpoint endpoint;
  if (!machine || !parse_endpoint(machine->address, endpoint)) co_return;
  const uint64_t fencing_token = callbacks_.fencing_token();
  const double requested_at = loop_.now();
  const bool was_suspected = callbacks_.is_suspected(*machine);
  probes_in_progress_.insert(machine_id);
  const HttpClientResponse reply =
      co_await http_.request(endpoint, Method::get, "/show", {}, settings_.heartbeat_interval_s);
  probes_in_progress_.erase(machine_id);
  machine = callbacks_.find_machine(machine_id);
  if (!machine || fencing_token != callbacks_.fencing_token()) co_return;
  if (!reply.answered()) {
    if (was_suspected) co_return;
    machine->unanswered_probe_sent_at = requested_at;
    ++machine->unanswered_probes;
    co_return;
  }
  const auto status = decode_heartbeat(decode_map(reply.body));
  if (reply.status != 200 || !status || status->machine != machine_id) co_return;
  machine->unanswered_probes = 0;
  note_reachable(*machine);
  // The response to the next heartbeat carries the resulting commands.
  callbacks_.on_status(*machine, *status, requested_at);
}

}  // namespace damsonport
