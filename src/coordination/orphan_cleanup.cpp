// Where no holder can be told of a cancellation, whoever knows of it minds the machines.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "coordination/holder.hpp"

namespace damsonport {

namespace {
constexpr double begin_share = 0.65;    // of cancel_s; before that a holder has time to act
constexpr double too_late_share = 1.1;  // likewise; beyond it nothing is gained
}  // namespace

// Without state service, peers that have it, and the holder: then what was confirmed here may be
// unknown to everybody else. A holder that doesn't know stops answering in time, which ends the
// tasks of every machine that runs on; one that hangs keeps them.
bool Holder::no_holder_reachable() const {
  if (!cache_.loaded() || in_contact() || p_.peer_network.peer_has_state(contact_s())) return false;
  // Not whom the records name: it may be up again and hold nothing.
  return p_.peer_network.newest_holder().second == 0;
}

std::vector<Holder::OrphanHost> Holder::orphan_hosts() const {
  std::map<std::string, OrphanHost> out;
  for (auto& [id, since] : p_.cancellations.known()) {
    const double age = (loop_.now() - since) / settings_.cancel_s;
    Job* job = cache_.job(id);
    if (!job || age < begin_share || age > too_late_share) continue;
    for (auto& task : job->live_tasks()) {
      auto& host = out[task.machine];
      host.id = task.machine;
      host.tasks.push_back({task.name, task.attempt});
    }
  }
  std::vector<OrphanHost> list;
  list.reserve(out.size());
  for (auto& [id, m] : out) list.push_back(std::move(m));
  return list;
}

// Asks each machine that may run a cancelled task, stops what is there under the holder's term, and
// returns the machine if it doesn't answer. Nothing is committed and nothing proven by it.
Task<void> Holder::stop_orphaned_tasks(std::stop_token token) {
  if (loop_.now() < next_orphan_check_ || !no_holder_reachable()) co_return;
  next_orphan_check_ = loop_.now() + settings_.report_s;
  auto machines = orphan_hosts();
  if (machines.empty()) co_return;
  uint64_t term = 0;
  for (auto& g : cache_.blocks().grants) term = std::max(term, g.term);
  std::map<std::string, std::string> addresses;
  MachineListReader::Take take = [&](auto& machine) { addresses[machine.id] = machine.address; };
  MachineListReader::KeepGoing keep_going = [this] { return no_holder_reachable(); };
  if (!co_await machine_list_.read(std::move(take), std::move(keep_going), token)) co_return;
  std::vector<std::string> back;
  for (size_t done = 0; done < machines.size() && !token.stop_requested();) {
    const size_t count =
        std::min(machines.size() - done, static_cast<size_t>(direct_sockets(settings_)));
    size_t left = count;
    for (size_t i = done; i < done + count; ++i) {
      machines[i].address = addresses[machines[i].id];
      loop_.spawn("minding", stop_orphans_on(machines[i], term, left));
    }
    // Each ends by its own time-outs; their results stand in what this routine holds.
    // NOLINTNEXTLINE(bugprone-infinite-loop): those routines count `left` down
    while (left > 0) co_await Sleep(loop_, settings_.report_s / 10, {});
    for (size_t i = done; i < done + count; ++i)
      if (machines[i].out_of_reach) back.push_back(machines[i].id);
    done += count;
  }
  constexpr size_t most = 100;
  for (size_t i = 0; i < back.size(); i += most) {
    std::vector<std::string> some(
        back.begin() + static_cast<long>(i),
        back.begin() + static_cast<long>(std::min(i + most, back.size())));
    spdlog::warn("returning {} machines out of reach that may keep cancelled tasks", some.size());
    co_await p_.http.request(settings_.cloud, Method::post, "/hosts/return", encode_return(some),
                             3.0);
  }
}

Task<void> Holder::stop_orphans_on(OrphanHost& m, uint64_t term, size_t& left) {
  Endpoint to;
  m.out_of_reach = true;
  if (parse_endpoint(m.address, to)) {
    auto shown = co_await p_.http.request(to, Method::get, "/show", {}, settings_.report_s);
    if (auto report = decode_report(decode_map(shown.body)); shown.status == 200 && report) {
      m.out_of_reach = false;
      std::vector<Command> stops;
      for (auto& t : report->tasks)
        for (auto& [name, attempt] : m.tasks)
          if (t.task == name && t.state != TaskState::exited)
            stops.push_back({Command::Op::stop, t.task, t.attempt, 0});
      if (!stops.empty())
        co_await p_.http.request(to, Method::post, "/commands",
                                 encode_direct(term, report->session, stops), settings_.report_s);
    }
  }
  --left;
}

}  // namespace damsonport
