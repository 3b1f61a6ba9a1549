// What the holder sends to workers by itself: orders, and questions to machines that are silent.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

void ShardLeader::dispatch(Machine& m, Command command) {
  m.outbox.push_back(std::move(command));
  flush(m.id);
}

void ShardLeader::flush(const std::string& id) {
  auto& m = machines_.at(id);
  if (m.sending || m.agent_epoch == 0 || m.outbox.empty()) return;
  // One that should have reported is likely out of reach: its next report is answered with what is
  // still wanted, and no socket hangs on it.
  if (failure_detector_.is_suspected(m, loop_.now())) return m.outbox.clear();
  m.sending = true;
  send_queue_.push_back(id);
  start_sends();
}

// Bounded, so that orders to many machines that don't answer leave sockets to everybody else.
void ShardLeader::start_sends() {
  while (sends_ < direct_sockets(settings_) && !send_queue_.empty()) {
    ++sends_;
    loop_.spawn("orders", send(std::move(send_queue_.front())));
    send_queue_.pop_front();
  }
}

Task<void> ShardLeader::send(std::string id) {
  // Lets the other orders of this turn join the message.
  co_await Sleep(loop_, 0, {});
  co_await send_commands(std::move(id));
  --sends_;
  start_sends();
}

// Asked again right before an order goes out: the records may have moved on since it was made.
bool ShardLeader::still_wanted(const Machine& m, const Command& c) const {
  if (c.op != Command::Op::start) return true;
  return !exits_.contains(c.task) && cache_.places(c.task, c.attempt, m.id);
}

Task<void> ShardLeader::send_commands(std::string id) {
  for (;;) {
    auto it = machines_.find(id);
    if (it == machines_.end()) co_return;
    Machine& m = it->second;
    auto commands = std::exchange(m.outbox, {});
    std::erase_if(commands, [&](const Command& c) { return !still_wanted(m, c); });
    // Cancelled before its start went out: never sent, it can't arrive, and the next report proves
    // it.
    std::erase_if(commands, [&](const Command& c) {
      return c.op == Command::Op::start && is_cancelled(*cache_.job(c.task.job));
    });
    if (commands.empty() || !is_leading()) {
      m.sending = false;
      co_return;
    }
    std::set<AttemptKey> starts;
    for (auto& c : commands)
      if (c.op == Command::Op::start) starts.insert({c.task, c.attempt});
    m.in_flight.insert(starts.begin(), starts.end());
    const auto agent_epoch = m.agent_epoch, fencing_token = fencing_token_;
    Endpoint to;
    HttpReply reply;
    const double asked_at = loop_.now();
    if (parse_endpoint(m.address, to))
      reply =
          co_await deps_.http.request(to, Method::post, "/commands",
                                      encode_direct_commands(fencing_token, agent_epoch, commands),
                                      std::max(1.0, settings_.heartbeat_interval_s));
    auto again = machines_.find(id);
    if (again == machines_.end() || fencing_token != fencing_token_) co_return;
    Machine& now = again->second;
    if (now.agent_epoch == agent_epoch) {
      for (auto& s : starts) {
        now.in_flight.erase(s);
        // Not answered: it may be carried out any time later in this session.
        if (!reply.answered()) now.in_limbo.insert(s);
      }
    }
    if (!reply.answered()) {
      ++now.failed_sends;
      mark_changed(id);
      now.sending = false;
      now.outbox.clear();  // the next report makes what is still wanted anew
      spdlog::debug("{} does not answer orders", id);
      co_return;
    }
    now.failed_sends = 0;
    if (auto heartbeat = decode_heartbeat(decode_map(reply.body));
        heartbeat && heartbeat->machine == id) {
      std::vector<Command> more;
      process_heartbeat(now, *heartbeat, true, asked_at, more);
      // A stop whose answer still shows the task saving, and the like, wait for the next report.
      for (auto& c : more)
        if (reply.status == 200 && c.op == Command::Op::remove) now.outbox.push_back(c);
    }
  }
}

void ShardLeader::start_probe(const std::string& id) {
  const auto most = static_cast<size_t>(direct_sockets(settings_)) / 2;
  if (!probing_.contains(id) && probing_.size() < most) loop_.spawn("probe", probe(id));
}

Task<void> ShardLeader::probe(std::string id) {
  auto it = machines_.find(id);
  Endpoint to;
  if (it == machines_.end() || !parse_endpoint(it->second.address, to)) co_return;
  auto fencing_token = fencing_token_;
  const double asked_at = loop_.now();
  probing_.insert(id);
  auto reply =
      co_await deps_.http.request(to, Method::get, "/show", {}, settings_.heartbeat_interval_s);
  probing_.erase(id);
  it = machines_.find(id);
  if (reply.status != 200 || it == machines_.end() || fencing_token != fencing_token_) co_return;
  if (auto heartbeat = decode_heartbeat(decode_map(reply.body));
      heartbeat && heartbeat->machine == id) {
    std::vector<Command> more;
    process_heartbeat(it->second, *heartbeat, true, asked_at, more);
  }
}

}  // namespace damsonport
