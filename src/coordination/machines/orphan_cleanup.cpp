#include "coordination/machines/orphan_cleanup.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

namespace damsonport {

namespace {
// Age of a cancellation, as a share of cancel_s, from which and up to which its tasks are cleaned
// up. Earlier, a shard leader still has time to act; later, the cleanup no longer helps.
constexpr double min_age_share = 0.65;
constexpr double max_age_share = 1.1;
constexpr size_t max_machines_per_return = 100;
constexpr double return_timeout_s = 3;
constexpr int ok = 200;
}  // namespace

OrphanCleanup::OrphanCleanup(Loop& loop, const Settings& settings, RecordCache& cache,
                             HttpClient& http, PeerNetwork& peer_network,
                             const CancellationGossip& cancellations, const StoreContact& contact,
                             MachineListReader& machine_list, int max_concurrent_requests)
    : loop_(loop),
      settings_(settings),
      cache_(cache),
      http_(http),
      peer_network_(peer_network),
      cancellations_(cancellations),
      contact_(contact),
      machine_list_(machine_list),
      max_concurrent_requests_(static_cast<size_t>(max_concurrent_requests)) {}

// True if neither this controller nor any live peer is in contact with the key-value store, and no
// live peer holds a shard lease as new as the one in this controller's records: then no other
// controller may know of a cancellation that is known here. An unreachable shard leader that
// doesn't know of it stops responding to heartbeats in time, which ends the tasks on every machine
// that still runs; a machine that hangs keeps its tasks.
bool OrphanCleanup::no_shard_leader_reachable() const {
  if (contact_.in_contact() || peer_network_.any_peer_reaches_store(contact_.limit_s()))
    return false;
  // The leader that the records name doesn't count: it may have restarted without the lease. Nor
  // does a peer whose lease has ended according to the records, such as the one that this
  // controller has just replaced as the shard leader.
  const uint64_t newest_claimed = peer_network_.newest_fencing_token();
  return newest_claimed == 0 || newest_claimed < newest_recorded_token();
}

uint64_t OrphanCleanup::newest_recorded_token() const {
  uint64_t newest = 0;
  for (auto& lease : cache_.shard_table().leases) newest = std::max(newest, lease.fencing_token);
  return newest;
}

bool OrphanCleanup::is_due(const CancellationGossip::Cancellation& cancellation) const {
  const double now = loop_.now();
  // `since` may be far too early, if the peer had not heard from this controller for long.
  return now - cancellation.since >= min_age_share * settings_.cancel_s &&
         now - cancellation.latest <= max_age_share * settings_.cancel_s;
}

// The records of a controller that had lost the store when a peer told it of the cancellation may
// name machines that the job left long before. Peers whose version states no machines leave no
// choice.
bool OrphanCleanup::own_records_count(const CancellationGossip::Cancellation& cancellation) const {
  if (!cache_.loaded()) return false;
  const bool any_statement = cancellation.machines && cancellation.machines->any_statement();
  return !any_statement || !cancellation.received_at ||
         cache_.as_of() > *cancellation.received_at - contact_.limit_s();
}

std::set<std::string> OrphanCleanup::machines_of(
    const CancellationGossip::Cancellation& cancellation) const {
  std::set<std::string> machines;
  if (cancellation.machines)
    for (auto& id : cancellation.machines->listed()) machines.insert(id);
  const Job* job = cache_.job(cancellation.job);
  if (!job || !own_records_count(cancellation)) return machines;
  for (auto& task : job->live_tasks())
    if (!cancellation.machines || !cancellation.machines->is_released(task.machine))
      machines.insert(task.machine);
  return machines;
}

std::vector<OrphanCleanup::OrphanMachine> OrphanCleanup::machines_with_orphans() const {
  std::map<std::string, OrphanMachine> out;
  for (auto& cancellation : cancellations_.all()) {
    if (!is_due(cancellation)) continue;
    const auto machines = machines_of(cancellation);
    spdlog::debug("no shard leader is reachable: {}, cancelled as {}, may be on {} machines",
                  cancellation.job, cancellation.received_at ? "peers report" : "the records say",
                  machines.size());
    for (auto& id : machines) {
      if (returned_.contains(id)) continue;
      out[id].id = id;
      out[id].cancelled_jobs.insert(cancellation.job);
    }
  }
  std::vector<OrphanMachine> list;
  list.reserve(out.size());
  for (auto& [id, machine] : out) list.push_back(std::move(machine));
  return list;
}

Task<void> OrphanCleanup::run_once(std::stop_token stop_token) {
  if (loop_.now() < next_check_at_ || !no_shard_leader_reachable()) co_return;
  next_check_at_ = loop_.now() + settings_.heartbeat_interval_s;
  auto machines = machines_with_orphans();
  if (machines.empty()) co_return;
  std::map<std::string, std::string> addresses;
  MachineListReader::OnMachine on_machine = [&](auto& machine) {
    addresses[machine.id] = machine.address;
  };
  MachineListReader::KeepGoing keep_going = [this] { return no_shard_leader_reachable(); };
  if (!co_await machine_list_.read(std::move(on_machine), std::move(keep_going), stop_token))
    co_return;
  for (auto& machine : machines) machine.address = addresses[machine.id];
  co_await stop_orphans(machines, stop_token);
  co_await return_unreachable(machines);
}

Task<void> OrphanCleanup::stop_orphans(std::vector<OrphanMachine>& machines,
                                       std::stop_token stop_token) {
  const uint64_t fencing_token = newest_recorded_token();
  for (size_t done = 0; done < machines.size() && !stop_token.stop_requested();) {
    const size_t count = std::min(machines.size() - done, max_concurrent_requests_);
    size_t remaining = count;
    for (size_t i = done; i < done + count; ++i)
      loop_.spawn("orphan cleanup", stop_orphans_on(machines[i], fencing_token, remaining));
    // Each coroutine ends within the timeouts of its requests. The coroutines refer to `machines`
    // and `remaining`, so this coroutine must wait for all of them.
    // NOLINTNEXTLINE(bugprone-infinite-loop): the spawned coroutines count `remaining` down
    while (remaining > 0) co_await Sleep(loop_, settings_.heartbeat_interval_s / 10, {});
    done += count;
  }
}

Task<void> OrphanCleanup::return_unreachable(const std::vector<OrphanMachine>& machines) {
  std::vector<std::string> unreachable;
  for (auto& machine : machines)
    if (machine.is_unreachable) unreachable.push_back(machine.id);
  for (size_t i = 0; i < unreachable.size(); i += max_machines_per_return) {
    const size_t end = std::min(i + max_machines_per_return, unreachable.size());
    std::vector<std::string> batch(unreachable.begin() + static_cast<long>(i),
                                   unreachable.begin() + static_cast<long>(end));
    spdlog::warn("returning {} machines out of reach that may keep cancelled tasks", batch.size());
    for (auto& id : batch)
      spdlog::info("returning {}: out of reach, it may keep cancelled tasks", id);
    const auto reply = co_await http_.request(settings_.cloud, Method::post, "/hosts/return",
                                              encode_return_request(batch), return_timeout_s);
    if (reply.status == ok) returned_.insert(batch.begin(), batch.end());
  }
}

Task<void> OrphanCleanup::stop_orphans_on(OrphanMachine& machine, uint64_t fencing_token,
                                          size_t& remaining) {
  Endpoint endpoint;
  machine.is_unreachable = true;
  if (parse_endpoint(machine.address, endpoint)) {
    auto response =
        co_await http_.request(endpoint, Method::get, "/show", {}, settings_.heartbeat_interval_s);
    if (auto heartbeat = decode_heartbeat(decode_map(response.body));
        response.status == ok && heartbeat) {
      machine.is_unreachable = false;
      std::vector<Command> stops;
      for (auto& task : heartbeat->tasks)
        if (task.state != TaskState::exited && machine.cancelled_jobs.contains(task.task.job))
          stops.push_back({Command::Op::stop, task.task, task.attempt, 0});
      if (!stops.empty())
        co_await http_.request(endpoint, Method::post, "/commands",
                               encode_direct_commands(fencing_token, heartbeat->agent_epoch, stops),
                               settings_.heartbeat_interval_s);
    }
  }
  --remaining;
}

}  // namespace damsonport
