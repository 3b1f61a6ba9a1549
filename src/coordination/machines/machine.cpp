#include "coordination/machines/machine.hpp"

namespace damsonport {

void ImageCache::used(const std::string& image, double gb, double now, double cache_gb) {
  auto& entry = images_[image];
  entry = {std::max(entry.first, now), gb};
  for (;;) {
    double sum = 0;
    auto oldest = images_.begin();
    for (auto it = images_.begin(); it != images_.end(); ++it) {
      sum += it->second.second;
      if (it->second.first < oldest->second.first) oldest = it;
    }
    if (sum <= cache_gb || images_.size() <= 1 || oldest->first == image) return;
    images_.erase(oldest);
  }
}

bool apply_heartbeat(Machine& m, const Heartbeat& r, double now, bool direct, double as_of) {
  // Late copies, from seconds to more than a lease, prove nothing.
  if (!r.newer_than(m.agent_epoch, m.sequence)) return false;
  if (r.agent_epoch != m.agent_epoch) {
    // Everything of the older session is gone and none of its orders can arrive any more.
    if (m.agent_epoch != 0) ++m.agent_restarts;
    m.in_flight.clear();
    m.in_limbo.clear();
    m.starts_in_response.clear();
    m.outbox.clear();
  }
  m.agent_epoch = r.agent_epoch;
  m.sequence = r.sequence;
  m.fencing_token = std::max(m.fencing_token, r.fencing_token);
  m.address = r.address;
  m.type = r.type;
  m.zone = r.zone;
  m.spot = r.spot;
  (direct ? m.last_direct_response_at : m.last_heartbeat_at) = now;
  m.tasks_as_of = std::max(m.tasks_as_of, as_of);
  if (m.first_heartbeat_at == 0) m.first_heartbeat_at = now;
  if (r.notice_s) {
    m.preempted_at = now + *r.notice_s;
  } else {
    m.preempted_at.reset();
  }
  m.tasks.clear();
  for (auto& t : r.tasks) {
    auto [it, fresh] = m.tasks.emplace(t.task, t);
    // The same task may stand there twice: an exited attempt and a later one.
    if (!fresh && (it->second.state == TaskState::exited || it->second.attempt < t.attempt))
      it->second = t;
  }
  return true;
}

}  // namespace damsonport
