// What may be stopped to make room, and at what cost.
#include "coordination/scheduling/scheduling_cycle.hpp"

namespace damsonport::scheduling {

bool SchedulingCycle::standing(const JobSnapshot& job) {
  return job.service && job.priority >= urgent_priority;
}

bool SchedulingCycle::may_stop(size_t j, const RunningTaskSnapshot& v) const {
  auto& job = in_.jobs[j];
  auto& victim = in_.jobs[v.job];
  // Only what would also be placed after it: what is placed first would take the room again, and
  // the two would drive one another out for ever.
  if (urgency_[j] <= urgency_[v.job] || is_stopping(v)) return false;
  if (victim.gang && gang_is_stopping(v.job)) return false;
  if (victim.priority < job.priority) return true;
  // For its guarantee a team may take back what another team borrows; standing replicas of the
  // same or a higher rank are left alone all the same, since each stop is seen by users.
  return guaranteed_[j] && !guaranteed_[v.job] && victim.team != job.team && !victim.service &&
         victim.priority < 3;
}

double SchedulingCycle::expected_within(size_t j) const {
  double s = never;
  if (in_.jobs[j].start_within_s > 0) s = in_.jobs[j].start_within_s;
  if (guaranteed_[j] && in_.guarantee_within_s > 0) s = std::min(s, in_.guarantee_within_s);
  return s;
}

double SchedulingCycle::abrupt_loss(const RunningTaskSnapshot& v) const {
  return std::min(age(v), in_.jobs[v.job].checkpoint_s / 2);
}

bool SchedulingCycle::abruptly(size_t j, size_t m, const RunningTaskSnapshot& v) const {
  if (in_.jobs[v.job].gang) return false;  // its tasks save together
  const double grace = in_.jobs[v.job].grace_s;
  return grace > 0 && abrupt_loss(v) <= 2 * grace &&
         image_delay(in_.jobs[j], in_.machines[m]) + grace > expected_within(j);
}

double SchedulingCycle::loss(const RunningTaskSnapshot& v, bool abrupt) const {
  auto& victim = in_.jobs[v.job];
  // Stopped with time to save it loses nothing but that time.
  const double lost =
      victim.checkpoint_s > 0 ? 0 : std::min(age(v), std::max(victim.estimate_s, 1.0) * 2);
  double c = (abrupt ? abrupt_loss(v) : lost + victim.grace_s) + 2 + victim.priority * 15;
  if (victim.service) c += 60;
  if (age(v) < in_.min_useful_run_s) c += 10;
  if (guaranteed_[v.job]) c += 15;
  // The whole gang goes with one of its tasks.
  if (victim.gang) c *= static_cast<double>(gang_parts_.at(v.job).size());
  return c;
}

bool SchedulingCycle::known_hopeless(size_t j, bool also_standing) const {
  auto& known = hopeless_[also_standing];
  return std::any_of(known.begin(), known.end(), [&](size_t h) {
    auto &a = in_.jobs[h], &b = in_.jobs[j];
    return a.need.fits(b.need) && same_rules(a, b) && urgency_[j] <= urgency_[h] &&
           b.priority <= a.priority && (!guaranteed_[j] || (guaranteed_[h] && a.team == b.team));
  });
}

void SchedulingCycle::stop_task(size_t m, size_t live, double grace_s) {
  out_.stops.push_back({m, live, grace_s});
  stopped_[m].push_back(live);
  future_[m] += in_.jobs[in_.machines[m].live[live].job].need;
}

void SchedulingCycle::stop_gang(size_t victim_job) {
  for (auto& part : gang_parts_.at(victim_job)) {
    stop_task(part.machine, part.live, in_.jobs[victim_job].grace_s);
    coming_.push_back(part.machine);
  }
}

bool SchedulingCycle::gang_is_stopping(size_t victim_job) const {
  auto& parts = gang_parts_.at(victim_job);
  return std::any_of(parts.begin(), parts.end(), [&](const GangPart& p) {
    return is_stopping(in_.machines[p.machine].live[p.live]);
  });
}

SchedulingCycle::Eviction SchedulingCycle::eviction_on(size_t j, size_t m,
                                                       bool also_standing) const {
  auto& job = in_.jobs[j];
  auto& live = in_.machines[m].live;
  std::vector<size_t> victims;
  for (size_t i = 0; i < live.size(); ++i)
    if (may_stop(j, live[i]) && (also_standing || !standing(in_.jobs[live[i].job])) &&
        !contains(stopped_[m], i))
      victims.push_back(i);
  auto lost = [&](size_t i) { return loss(live[i], abruptly(j, m, live[i])); };
  std::sort(victims.begin(), victims.end(), [&](size_t a, size_t b) { return lost(a) < lost(b); });
  Resources room = free_[m];
  room += future_[m];
  Eviction eviction{image_delay(job, in_.machines[m]), m, {}};
  for (size_t i : victims) {
    if (job.need.fits(room)) break;
    auto& need = in_.jobs[live[i].job].need;
    const bool helps = (need.gpus > 0 && job.need.gpus > room.gpus) ||
                       (need.cpus > 0 && job.need.cpus > room.cpus) ||
                       (need.memory_gb > 0 && job.need.memory_gb > room.memory_gb);
    if (!helps) continue;
    room += need;
    eviction.score += lost(i);
    eviction.live.push_back(i);
  }
  if (eviction.live.empty() || !job.need.fits(room)) eviction.score = never;
  return eviction;
}

SchedulingCycle::Eviction SchedulingCycle::cheapest_eviction(size_t j, bool also_standing) {
  Eviction best;
  for (size_t m = 0; m < in_.machines.size(); ++m) {
    if (least_urgent_[m] >= urgency_[j]) continue;
    ++out_.examined;
    if (!is_feasible(j, m)) continue;
    auto eviction = eviction_on(j, m, also_standing);
    if (eviction.score < best.score) best = std::move(eviction);
  }
  return best;
}

void SchedulingCycle::evict(size_t j, const Eviction& eviction) {
  const size_t m = eviction.machine;
  auto& live = in_.machines[m].live;
  for (size_t i : eviction.live) {
    const size_t victim = live[i].job;
    if (contains(stopped_[m], i)) continue;  // with another task of its gang
    if (in_.jobs[victim].gang) {
      stop_gang(victim);
    } else {
      stop_task(m, i, abruptly(j, m, live[i]) ? 0 : in_.jobs[victim].grace_s);
    }
  }
  take_future(j, m);
  coming_.push_back(m);
  for (auto& known : hopeless_) known.clear();  // more may be coming now than this job takes
}

bool SchedulingCycle::make_room(size_t j, bool also_standing) {
  if (known_hopeless(j, also_standing)) return false;
  const Eviction best = cheapest_eviction(j, also_standing);
  if (best.score == never) {
    if (represents_class(in_.jobs[j])) hopeless_[also_standing].push_back(j);
    return false;
  }
  evict(j, best);
  return true;
}

double SchedulingCycle::time_to_save(size_t m) const {
  double longest = 0;
  auto& live = in_.machines[m].live;
  for (size_t i = 0; i < live.size(); ++i)
    if (is_stopping(live[i]) || contains(stopped_[m], i))
      longest = std::max(longest, in_.jobs[live[i].job].grace_s);
  return longest;
}

bool SchedulingCycle::beside_image_in_time(size_t j, const Eviction& eviction,
                                           double precedes) const {
  double longest = time_to_save(eviction.machine);
  for (size_t i : eviction.live) {
    auto& victim = in_.machines[eviction.machine].live[i];
    if (in_.jobs[victim.job].gang) return false;  // too much for one start
    if (!abruptly(j, eviction.machine, victim))
      longest = std::max(longest, in_.jobs[victim.job].grace_s);
  }
  return longest < precedes;
}

double SchedulingCycle::machine_cost_after(size_t j, const Eviction& eviction) const {
  const size_t m = eviction.machine;
  Resources room = free_[m];
  room += future_[m];
  for (size_t i : eviction.live) room += in_.jobs[in_.machines[m].live[i].job].need;
  return score(j, m, room);
}

bool SchedulingCycle::make_room_beside_image(size_t j, double fetch_s, double score) {
  auto& job = in_.jobs[j];
  // Room that takes as long as the fetch, or longer than is expected of the start, is no gain.
  const double precedes = std::min(fetch_s, job.start_within_s);
  // Also what an earlier pass decided: it would else start elsewhere meanwhile, with a fetch.
  if (claim_coming(j, BesideImage{precedes, score})) return true;
  Eviction best;
  best.score = score;
  for (size_t m = 0; m < in_.machines.size(); ++m) {
    if (least_urgent_[m] >= urgency_[j] || !has_image(in_.machines[m], job.image)) continue;
    ++out_.examined;
    if (!is_feasible(j, m)) continue;
    auto eviction = eviction_on(j, m, false);
    // Where the machine itself costs more than the other one, the task would not start there once
    // the room is free; what was stopped would, and be stopped again.
    const bool would_start = machine_cost_after(j, eviction) < score;
    if (would_start && eviction.score < best.score && beside_image_in_time(j, eviction, precedes))
      best = std::move(eviction);
  }
  if (best.machine == nowhere) return false;
  evict(j, best);
  return true;
}

}  // namespace damsonport::scheduling
