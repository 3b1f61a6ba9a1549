#include "coordination/autoscaling/scale_in_tracker.hpp"

namespace damsonport {

void ScaleInTracker::clear() { *this = {}; }

const ScaleInTracker::Record* ScaleInTracker::find(const std::string& machine) const {
  auto it = records_.find(machine);
  return it == records_.end() ? nullptr : &it->second;
}

void ScaleInTracker::set_state(Record& record, ScaleInState state) {
  if (record.state == ScaleInState::requested) --requested_;
  if (state == ScaleInState::requested) ++requested_;
  record.state = state;
}

bool ScaleInTracker::request(const std::string& machine, ScaleInCause cause) {
  Record& record = records_[machine];
  if (cause == ScaleInCause::declared_dead) record.declared_dead = true;
  if (cause == ScaleInCause::keeps_cancelled_task && !record.keeps_cancelled_task) {
    record.keeps_cancelled_task = true;
    ++keeping_cancelled_tasks_;
  }
  if (record.state != ScaleInState::retained) return false;
  set_state(record, ScaleInState::requested);
  return true;
}

bool ScaleInTracker::note_heartbeat(const std::string& machine, bool has_tombstone) {
  auto it = records_.find(machine);
  if (it == records_.end() || !it->second.declared_dead) return false;
  Record& record = it->second;
  record.declared_dead = false;
  if (has_tombstone || record.state != ScaleInState::requested) return false;
  set_state(record, ScaleInState::retained);
  return true;
}

void ScaleInTracker::begin_return_call(const std::string& machine) {
  records_[machine].return_call_in_flight = true;
}

void ScaleInTracker::end_return_call(const std::string& machine) {
  records_[machine].return_call_in_flight = false;
}

void ScaleInTracker::defer_tombstone(const std::string& machine) {
  Record& record = records_[machine];
  if (!record.awaiting_tombstone) ++awaiting_tombstones_;
  record.awaiting_tombstone = true;
}

void ScaleInTracker::note_tombstone_written(const std::string& machine) {
  auto it = records_.find(machine);
  if (it == records_.end() || !it->second.awaiting_tombstone) return;
  it->second.awaiting_tombstone = false;
  --awaiting_tombstones_;
}

bool ScaleInTracker::confirm_return(const std::string& machine) {
  Record& record = records_[machine];
  const bool was_declared_dead = record.declared_dead;
  record.declared_dead = false;
  if (record.keeps_cancelled_task) --keeping_cancelled_tasks_;
  record.keeps_cancelled_task = false;
  set_state(record, ScaleInState::returned);
  return was_declared_dead;
}

bool ScaleInTracker::is_requested(const std::string& machine) const {
  const Record* record = find(machine);
  return record && record->state == ScaleInState::requested;
}

bool ScaleInTracker::is_returned(const std::string& machine) const {
  const Record* record = find(machine);
  return record && record->state == ScaleInState::returned;
}

bool ScaleInTracker::is_declared_dead(const std::string& machine) const {
  const Record* record = find(machine);
  return record && record->declared_dead;
}

bool ScaleInTracker::keeps_cancelled_task(const std::string& machine) const {
  const Record* record = find(machine);
  return record && record->keeps_cancelled_task;
}

std::vector<std::string> ScaleInTracker::ready_for_return(Selection selection) const {
  std::vector<std::string> ready;
  if (requested_ == 0) return ready;
  for (auto& [machine, record] : records_) {
    if (record.state != ScaleInState::requested || record.return_call_in_flight) continue;
    if (selection == Selection::all || record.keeps_cancelled_task) ready.push_back(machine);
  }
  return ready;
}

std::vector<std::string> ScaleInTracker::awaiting_tombstone(size_t limit) const {
  std::vector<std::string> awaiting;
  if (awaiting_tombstones_ == 0) return awaiting;
  for (auto& [machine, record] : records_) {
    if (awaiting.size() >= limit) break;
    if (record.awaiting_tombstone) awaiting.push_back(machine);
  }
  return awaiting;
}

}  // namespace damsonport
