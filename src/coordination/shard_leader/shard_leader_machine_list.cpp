// The shard leader's use of the cloud's machine list: which machines exist, and in which state.
#include <algorithm>

#include "coordination/shard_leader/shard_leader.hpp"

namespace damsonport {

// A coroutine of its own, because reading a long list takes seconds, during which run_maintenance()
// has to go on detecting missed heartbeats.
Task<void> ShardLeader::follow_machine_list(std::stop_token stop_token) {
  const double tick_s = settings_.heartbeat_interval_s / 4;
  while (!stop_token.stop_requested()) {
    if (!co_await Sleep(loop_, tick_s, stop_token)) co_return;
    const bool due = loop_.now() >= next_machine_list_at_;
    if (!due || !lease_.leads_cluster_and_shard() || !lease_.records_current() ||
        !deps_.catalog.loaded())
      continue;
    next_machine_list_at_ = loop_.now() + settings_.list_lag_s / 2;
    MachineListReader::OnMachine on_machine = [this](auto& listed) { note_listed(listed); };
    MachineListReader::KeepGoing keep_going = [this, fencing_token = lease_.fencing_token()] {
      return fencing_token == lease_.fencing_token() && lease_.leads_cluster_and_shard();
    };
    co_await machine_list_.read(std::move(on_machine), std::move(keep_going), stop_token);
  }
}

void ShardLeader::note_listed(const ListedMachine& listed) {
  if (scale_in_.tracker().is_returned(listed.id)) return;  // the list lags
  if (cache_.has_tombstone(listed.id)) {
    // The list lags, so it may still contain a machine that was returned; a second return is
    // harmless.
    scale_in_.resume(listed.id);
    return;
  }
  if (listed.state == "failed") {
    scale_in_.request(listed.id, "it failed");
  } else if (listed.state == "starting") {
    autoscaler_.note_booting(listed);
  } else if (listed.state == "running") {
    Machine& m = machine(listed.id);
    if (m.agent_epoch != 0) return;
    m.address = listed.address;
    m.type = listed.type;
    m.zone = listed.zone;
    m.spot = listed.spot;
    mark_machine_changed(listed.id);
  }
}

}  // namespace damsonport
