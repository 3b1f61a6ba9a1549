#include "coordination/machines/orphan_cleanup.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

namespace damsonport {

namespace {
constexpr double begin_share = 0.65;    // of cancel_s; before that a holder has time to act
constexpr double too_late_share = 1.1;  // likewise; beyond it nothing is gained
constexpr size_t most_returned_at_once = 100;
constexpr double return_patience_s = 3;
}  // namespace

OrphanCleanup::OrphanCleanup(Loop& loop, const Settings& settings, RecordCache& cache,
                             HttpClient& http, PeerNetwork& peer_network,
                             const CancellationGossip& cancellations, const StoreContact& contact,
                             MachineListReader& machine_list, int most_sockets)
    : loop_(loop),
      settings_(settings),
      cache_(cache),
      http_(http),
      peer_network_(peer_network),
      cancellations_(cancellations),
      contact_(contact),
      machine_list_(machine_list),
      most_sockets_(static_cast<size_t>(most_sockets)) {}

// Without state service, peers that have it, and the holder: then what was confirmed here may be
// unknown to everybody else. A holder that doesn't know stops answering in time, which ends the
// tasks of every machine that runs on; one that hangs keeps them.
bool OrphanCleanup::no_shard_leader_reachable() const {
  if (!cache_.loaded() || contact_.in_contact() ||
      peer_network_.any_peer_reaches_store(contact_.limit_s()))
    return false;
  // Not whom the records name: it may be up again and hold nothing.
  return peer_network_.newest_shard_leader() == std::nullopt;
}

std::vector<OrphanCleanup::OrphanHost> OrphanCleanup::orphan_hosts() const {
  std::map<std::string, OrphanHost> out;
  for (auto& [id, since] : cancellations_.known()) {
    const double age = (loop_.now() - since) / settings_.cancel_s;
    const Job* job = cache_.job(id);
    if (!job || age < begin_share || age > too_late_share) continue;
    for (auto& task : job->live_tasks()) {
      auto& host = out[task.machine];
      host.id = task.machine;
      host.tasks.push_back({task.id, task.attempt});
    }
  }
  std::vector<OrphanHost> list;
  list.reserve(out.size());
  for (auto& [id, host] : out) list.push_back(std::move(host));
  return list;
}

Task<void> OrphanCleanup::run_once(std::stop_token stop_token) {
  if (loop_.now() < next_check_ || !no_shard_leader_reachable()) co_return;
  next_check_ = loop_.now() + settings_.heartbeat_interval_s;
  auto hosts = orphan_hosts();
  if (hosts.empty()) co_return;
  std::map<std::string, std::string> addresses;
  MachineListReader::Take take = [&](auto& machine) { addresses[machine.id] = machine.address; };
  MachineListReader::KeepGoing keep_going = [this] { return no_shard_leader_reachable(); };
  if (!co_await machine_list_.read(std::move(take), std::move(keep_going), stop_token)) co_return;
  for (auto& host : hosts) host.address = addresses[host.id];
  co_await stop_orphans(hosts, stop_token);
  co_await return_out_of_reach(hosts);
}

Task<void> OrphanCleanup::stop_orphans(std::vector<OrphanHost>& hosts, std::stop_token stop_token) {
  uint64_t fencing_token = 0;
  for (auto& grant : cache_.shard_table().leases)
    fencing_token = std::max(fencing_token, grant.fencing_token);
  for (size_t done = 0; done < hosts.size() && !stop_token.stop_requested();) {
    const size_t count = std::min(hosts.size() - done, most_sockets_);
    size_t left = count;
    for (size_t i = done; i < done + count; ++i)
      loop_.spawn("orphan cleanup", stop_orphans_on(hosts[i], fencing_token, left));
    // Each ends by its own time-outs; their results stand in what this routine holds.
    // NOLINTNEXTLINE(bugprone-infinite-loop): those routines count `left` down
    while (left > 0) co_await Sleep(loop_, settings_.heartbeat_interval_s / 10, {});
    done += count;
  }
}

Task<void> OrphanCleanup::return_out_of_reach(const std::vector<OrphanHost>& hosts) {
  std::vector<std::string> back;
  for (auto& host : hosts)
    if (host.out_of_reach) back.push_back(host.id);
  for (size_t i = 0; i < back.size(); i += most_returned_at_once) {
    const size_t end = std::min(i + most_returned_at_once, back.size());
    std::vector<std::string> some(back.begin() + static_cast<long>(i),
                                  back.begin() + static_cast<long>(end));
    spdlog::warn("returning {} machines out of reach that may keep cancelled tasks", some.size());
    co_await http_.request(settings_.cloud, Method::post, "/hosts/return", encode_return(some),
                           return_patience_s);
  }
}

Task<void> OrphanCleanup::stop_orphans_on(OrphanHost& host, uint64_t fencing_token, size_t& left) {
  Endpoint to;
  host.out_of_reach = true;
  if (parse_endpoint(host.address, to)) {
    auto shown =
        co_await http_.request(to, Method::get, "/show", {}, settings_.heartbeat_interval_s);
    if (auto heartbeat = decode_heartbeat(decode_map(shown.body));
        shown.status == 200 && heartbeat) {
      host.out_of_reach = false;
      std::vector<Command> stops;
      for (auto& task : heartbeat->tasks)
        for (auto& [name, attempt] : host.tasks)
          if (task.task == name && task.state != TaskState::exited)
            stops.push_back({Command::Op::stop, task.task, task.attempt, 0});
      if (!stops.empty())
        co_await http_.request(to, Method::post, "/commands",
                               encode_direct_commands(fencing_token, heartbeat->agent_epoch, stops),
                               settings_.heartbeat_interval_s);
    }
  }
  --left;
}

}  // namespace damsonport
