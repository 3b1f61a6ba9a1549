#include "coordination/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <tuple>
#include <unordered_map>

namespace damsonport::placing {

namespace {

constexpr double missed_cost = 25;  // seconds that a start later than expected counts for
constexpr int urgent_priority = 2;  // high and production
constexpr double never = std::numeric_limits<double>::infinity();

bool contains(const std::vector<std::string>& list, const std::string& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

class Placer {
 public:
  explicit Placer(const Input& in)
      : in_(in), zone_count_(in.jobs.size()), stopped_(in.live.size()) {
    for (size_t i = 0; i < in.teams.size(); ++i) team_index_[in.teams[i].name] = i;
    for (auto& m : in.machines) {
      free_.push_back(m.free);
      future_.push_back(m.coming_free);
      on_machine_.emplace_back();
    }
    for (auto& t : in.teams) used_.push_back(t.used);
    for (size_t i = 0; i < in.live.size(); ++i) {
      auto& l = in.live[i];
      ++zone_count_[l.job][in.machines[l.machine].zone];
      ++on_machine_[l.machine][l.job];
      by_machine_[l.machine].push_back(i);
    }
    measure_shapes();
    judge_guarantees();
  }

  Decisions run() {
    std::vector<size_t> order;
    for (size_t j = 0; j < in_.jobs.size(); ++j)
      if (in_.jobs[j].waiting > 0 && !in_.jobs[j].cancelled) order.push_back(j);
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) { return before(a, b); });
    for (size_t j : order) {
      if (in_.jobs[j].gang) {
        place_gang(j);
      } else {
        place_job(j);
      }
    }
    return std::move(out_);
  }

 private:
  // The shapes that matter for keeping room whole: the most accelerators that one task asks for,
  // and the CPUs and memory that go with an accelerator. Work that may use spot machines has room
  // of its own there and counts only where there is no other.
  void measure_shapes() {
    const bool fixed = std::any_of(in_.jobs.begin(), in_.jobs.end(),
                                   [](auto& j) { return j.need.gpus > 0 && !j.spot; });
    for (auto& j : in_.jobs) {
      if (j.need.gpus <= 0 || (fixed && j.spot)) continue;
      large_gpus_ = std::max(large_gpus_, j.need.gpus);
      cpus_per_gpu_ = std::max(cpus_per_gpu_, j.need.cpus / j.need.gpus);
      memory_per_gpu_ = std::max(memory_per_gpu_, j.need.memory_gb / j.need.gpus);
    }
  }

  // Accelerators that can be used in this room, going by the CPUs and memory beside them.
  double usable_gpus(const Amounts& room) const {
    double n = std::max(room.gpus, 0.0);
    if (cpus_per_gpu_ > 0) n = std::min(n, room.cpus / cpus_per_gpu_);
    if (memory_per_gpu_ > 0) n = std::min(n, room.memory_gb / memory_per_gpu_);
    return std::max(n, 0.0);
  }

  // A job is within its team's guarantee when it fits into it with the team's earlier ones.
  void judge_guarantees() {
    guaranteed_.assign(in_.jobs.size(), false);
    std::vector<size_t> order(in_.jobs.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
      return in_.jobs[a].accepted_at < in_.jobs[b].accepted_at;
    });
    std::vector<Amounts> sum(in_.teams.size());
    for (size_t j : order) {
      auto& job = in_.jobs[j];
      auto t = team_index_.find(job.team);
      if (t == team_index_.end() || job.cancelled) continue;
      auto& g = in_.teams[t->second].guaranteed;
      auto& s = sum[t->second];
      s.cpus += job.need.cpus * job.unfinished;
      s.gpus += job.need.gpus * job.unfinished;
      constexpr double eps = 1e-6;
      guaranteed_[j] = (g.cpus > 0 || g.gpus > 0) && (g.cpus <= 0 || s.cpus <= g.cpus + eps) &&
                       (g.gpus <= 0 || s.gpus <= g.gpus + eps);
    }
  }

  int urgency(size_t j) const {
    auto& job = in_.jobs[j];
    // Urgent ranks first, then what is guaranteed, then the rest; by priority, and among equals
    // what is guaranteed. An urgent job past its guarantee thus isn't kept waiting by guaranteed
    // work that may be stopped and saved.
    return (job.priority >= urgent_priority ? 200
            : guaranteed_[j]                ? 100
                                            : 0) +
           job.priority * 10 + (guaranteed_[j] ? 5 : 0);
  }

  bool before(size_t a, size_t b) const {
    int ua = urgency(a), ub = urgency(b);
    if (ua != ub) return ua > ub;
    auto &ja = in_.jobs[a], &jb = in_.jobs[b];
    double ta = turn(ja), tb = turn(jb);
    if (ta != tb) return ta < tb;
    return ja.id < jb.id;
  }

  // Among equals by deadline, and by age where there is none. When more is asked than can be done,
  // what can't be in time any more would make the next one late too, so it goes behind for a while;
  // but not for ever, since it has to run as well.
  double turn(const JobView& job) const {
    if (job.due_at <= 0) return job.accepted_at;
    const double patience = in_.begin_within_s * (job.begun ? 3 : 1);
    const bool behind = in_.now > job.due_at && in_.now < job.accepted_at + patience;
    return behind ? in_.now + job.accepted_at + patience : job.due_at;
  }

  bool team_allows(size_t j) const {
    auto& job = in_.jobs[j];
    auto t = team_index_.find(job.team);
    if (t == team_index_.end()) return false;
    constexpr double eps = 1e-6;
    auto& limit = in_.teams[t->second].limit;
    auto& used = used_[t->second];
    return (limit.cpus <= 0 || used.cpus + job.need.cpus <= limit.cpus + eps) &&
           (limit.gpus <= 0 || used.gpus + job.need.gpus <= limit.gpus + eps);
  }

  bool zone_allows(size_t j, const std::string& zone) const {
    auto& job = in_.jobs[j];
    if (!job.zone.empty() && job.zone != zone) return false;
    auto& count = zone_count_[j];
    // A machine known only from the records, after a change of holder, has no zone yet: its tasks
    // may be in any.
    auto unknown_at = count.find("");
    uint32_t unknown = unknown_at == count.end() ? 0 : unknown_at->second;
    if (job.one_zone && unknown > 0) return false;
    if (job.one_zone)
      for (auto& [z, n] : count)
        if (n > 0 && z != zone) return false;
    if (job.spread) {
      auto it = count.find(zone);
      uint32_t here = it == count.end() ? 0 : it->second;
      if (here + unknown + 1 > (job.tasks + 1) / 2) return false;
    }
    return true;
  }

  bool allowed(size_t j, size_t m) const {
    auto& job = in_.jobs[j];
    auto& machine = in_.machines[m];
    return machine.open && (!machine.spot || job.spot) &&
           (job.types.empty() || contains(job.types, machine.type)) &&
           job.need.fits(machine.total) && zone_allows(j, machine.zone) &&
           !contains(machine.bad_jobs, job.id);
  }

  double image_delay(const JobView& job, const MachineView& m) const {
    double fetch = job.image_gb / std::max(m.fetch_gb_per_s, 1e-3);
    if (contains(m.fetching, job.image)) return fetch * 0.5;
    if (holds(m, job.image)) return 0;
    return fetch * (1.0 + static_cast<double>(m.fetching.size()));
  }

  // Chance that a fetch of this length, give or take a third, is too long for what is expected.
  static double miss_chance(double fetch, double within) {
    if (within <= 0 || fetch <= 0) return 0;
    const double least = fetch * 2 / 3, most = fetch * 4 / 3;
    return std::clamp((most - within) / (most - least), 0.0, 1.0);
  }

  // Seconds, or what counts like them: the lower, the better the machine for this task.
  double cost(size_t j, size_t m, const Amounts& room) const {
    auto& job = in_.jobs[j];
    auto& machine = in_.machines[m];
    double c = image_delay(job, machine);
    c += missed_cost * miss_chance(c, job.start_within_s);
    if (job.spot && !machine.spot) c += 3;  // what may use cheap machines leaves others free
    c += (1.0 - std::min(machine.speed, 1.0)) * 20;
    if (job.service) {
      // Replicas apart, so that one machine's loss takes few of them.
      if (auto it = on_machine_[m].find(j); it != on_machine_[m].end()) c += 2.0 * it->second;
    }
    if (machine.total.gpus > 0 && job.need.gpus <= 0) {
      // Accelerators without CPUs or memory beside them are lost room. Where it can't be helped, it
      // is lost on machines that are of little use already, and not a little of it on each.
      c += 15;
      Amounts left = room;
      left -= job.need;
      const double before = usable_gpus(room), after = usable_gpus(left);
      if (after < before - 1e-6) c += 30 + 5 * after;
      c += 1.0 / (1.0 + left.cpus);
    } else if (job.need.gpus > 0 && large_gpus_ > 0) {
      double left = room.gpus - job.need.gpus;
      double broken = std::floor(room.gpus / large_gpus_ + 1e-6) -
                      std::floor(left / large_gpus_ + 1e-6) - job.need.gpus / large_gpus_;
      if (broken > 1e-6) c += 4 * broken;
      c += 0.3 * left / std::max(machine.total.gpus, 1.0);
    } else {
      c += 0.5 * (room.cpus - job.need.cpus) / std::max(machine.total.cpus, 1.0);
    }
    return c;
  }

  void place_job(size_t j) {
    auto& job = in_.jobs[j];
    uint32_t left = job.waiting;
    bool fits_now = !known_full(job), can_make_room = true;
    uint32_t coming = 0;
    while (left > 0) {
      if (!team_allows(j)) return note_unplaced(j, 0, coming);
      if (fits_now) {
        size_t where = 0;
        if (best_now(j, where)) {
          occupy(j, where, free_[where]);
          out_.starts.push_back({j, where});
          --left;
          continue;
        }
        fits_now = false;
        note_full(job);
      }
      // Room that is being made already serves the most urgent first.
      if (claim_coming(j)) {
        ++coming;
        --left;
        continue;
      }
      if (!can_make_room || !make_room(j)) {
        can_make_room = false;
        break;
      }
      ++coming;
      --left;
    }
    note_unplaced(j, left, coming);
  }

  // Free room only shrinks during a pass, so where a task found none, no task that needs at least
  // as much under the same rules does: under overload the like are decided as a class. Jobs bound
  // to the zones of their own tasks, or kept off some machines, speak for themselves only.
  bool known_full(const JobView& job) const {
    return std::any_of(full_.begin(), full_.end(), [&](const JobView* f) {
      return f->need.fits(job.need) && f->spot == job.spot && f->zone == job.zone &&
             f->types == job.types;
    });
  }
  void note_full(const JobView& job) {
    const bool kept_off = std::any_of(in_.machines.begin(), in_.machines.end(),
                                      [&](auto& m) { return contains(m.bad_jobs, job.id); });
    if (!job.one_zone && !job.spread && !kept_off) full_.push_back(&job);
  }

  // All of it or nothing, and nothing is stopped for it.
  void place_gang(size_t j) {
    auto before = std::make_tuple(free_, used_, zone_count_, on_machine_, out_.starts);
    for (uint32_t left = in_.jobs[j].waiting; left > 0; --left) {
      size_t where = 0;
      if (team_allows(j) && best_now(j, where)) {
        occupy(j, where, free_[where]);
        out_.starts.push_back({j, where});
        continue;
      }
      std::tie(free_, used_, zone_count_, on_machine_, out_.starts) = std::move(before);
      return note_unplaced(j, in_.jobs[j].waiting, 0);
    }
  }

  bool best_now(size_t j, size_t& where) {
    double best = never;
    out_.examined += in_.machines.size();
    for (size_t m = 0; m < in_.machines.size(); ++m) {
      if (!in_.jobs[j].need.fits(free_[m]) || !allowed(j, m)) continue;
      double c = cost(j, m, free_[m]);
      if (c < best) best = c, where = m;
    }
    return best < never;
  }

  void note_unplaced(size_t j, uint32_t left, uint32_t coming) {
    if (left) out_.unplaced.push_back({j, left, guaranteed_[j], false});
    if (coming) out_.unplaced.push_back({j, coming, guaranteed_[j], true});
  }

  void occupy(size_t j, size_t m, Amounts& room) {
    auto& job = in_.jobs[j];
    room -= job.need;
    used_[team_index_.at(job.team)] += job.need;
    ++zone_count_[j][in_.machines[m].zone];
    ++on_machine_[m][j];
  }

  bool claim_coming(size_t j) {
    out_.examined += in_.machines.size();
    auto& need = in_.jobs[j].need;
    double best = never;
    size_t where = 0;
    for (size_t m = 0; m < in_.machines.size(); ++m) {
      if (future_[m].cpus <= 0 && future_[m].gpus <= 0 && future_[m].memory_gb <= 0) continue;
      Amounts both = free_[m];
      both += future_[m];
      if (!need.fits(both) || !allowed(j, m)) continue;
      double c = cost(j, m, both);
      if (c < best) best = c, where = m;
    }
    if (best == never) return false;
    take_future(j, where);
    return true;
  }

  // Uses what is free first and takes the rest from what comes free.
  void take_future(size_t j, size_t m) {
    auto& need = in_.jobs[j].need;
    auto part = [](double want, double& now, double& later) {
      double first = std::min(want, std::max(now, 0.0));
      now -= first;
      later -= want - first;
    };
    part(need.cpus, free_[m].cpus, future_[m].cpus);
    part(need.gpus, free_[m].gpus, future_[m].gpus);
    part(need.memory_gb, free_[m].memory_gb, future_[m].memory_gb);
    used_[team_index_.at(in_.jobs[j].team)] += need;
    ++zone_count_[j][in_.machines[m].zone];
    ++on_machine_[m][j];
  }

  bool may_stop(size_t j, const LiveView& v) const {
    auto& job = in_.jobs[j];
    auto& victim = in_.jobs[v.job];
    if (v.stopping || stopped_[static_cast<size_t>(&v - in_.live.data())]) return false;
    // Only what would also be placed after it: what is placed first would take the room again, and
    // the two would drive one another out for ever.
    if (urgency(j) <= urgency(v.job)) return false;
    if (victim.priority < job.priority) return true;
    // For its guarantee a team may take back what another team borrows; standing replicas of the
    // same or a higher rank are left alone all the same, since each stop is seen by users.
    return guaranteed_[j] && !guaranteed_[v.job] && victim.team != job.team && !victim.service &&
           !job_protected(v.job);
  }
  bool job_protected(size_t j) const { return in_.jobs[j].priority >= 3; }

  // Within how many seconds this job is expected to start.
  double expected_within(size_t j) const {
    double s = never;
    if (in_.jobs[j].start_within_s > 0) s = in_.jobs[j].start_within_s;
    if (guaranteed_[j] && in_.guarantee_within_s > 0) s = std::min(s, in_.guarantee_within_s);
    return s;
  }

  // What saves by itself loses half an interval when it is stopped at once, about what the saving
  // would take. It is stopped so for what could not wait for the saving.
  bool abruptly(size_t j, size_t m, const LiveView& v) const {
    return v.grace_s > 0 && v.abrupt_s <= 2 * v.grace_s &&
           image_delay(in_.jobs[j], in_.machines[m]) + v.grace_s > expected_within(j);
  }

  double loss(const LiveView& v, bool abrupt) const {
    auto& victim = in_.jobs[v.job];
    double c = (abrupt ? v.abrupt_s : v.lost_s + v.grace_s) + 2 + victim.priority * 15;
    if (victim.service) c += 60;
    if (v.age_s < in_.start_counts_s) c += 10;
    if (guaranteed_[v.job]) c += 15;
    return c;
  }

  bool make_room(size_t j) {
    out_.examined += in_.machines.size();
    auto& job = in_.jobs[j];
    double best = never;
    size_t where = 0;
    std::vector<size_t> best_set;
    for (size_t m = 0; m < in_.machines.size(); ++m) {
      if (!allowed(j, m)) continue;
      auto it = by_machine_.find(m);
      if (it == by_machine_.end()) continue;
      std::vector<size_t> victims;
      for (size_t i : it->second)
        if (may_stop(j, in_.live[i])) victims.push_back(i);
      auto lost = [&](size_t i) { return loss(in_.live[i], abruptly(j, m, in_.live[i])); };
      std::sort(victims.begin(), victims.end(),
                [&](size_t a, size_t b) { return lost(a) < lost(b); });
      Amounts room = free_[m];
      room += future_[m];
      std::vector<size_t> set;
      double c = image_delay(job, in_.machines[m]);
      for (size_t i : victims) {
        if (job.need.fits(room)) break;
        auto& need = in_.jobs[in_.live[i].job].need;
        bool helps = (need.gpus > 0 && job.need.gpus > room.gpus) ||
                     (need.cpus > 0 && job.need.cpus > room.cpus) ||
                     (need.memory_gb > 0 && job.need.memory_gb > room.memory_gb);
        if (!helps) continue;
        room += need;
        c += lost(i);
        set.push_back(i);
      }
      if (!set.empty() && job.need.fits(room) && c < best) best = c, where = m, best_set = set;
    }
    if (best == never) return false;
    for (size_t i : best_set) {
      auto& v = in_.live[i];
      out_.stops.push_back({i, abruptly(j, where, v) ? 0 : v.grace_s});
      stopped_[i] = true;
      future_[where] += in_.jobs[v.job].need;
    }
    take_future(j, where);
    return true;
  }

  const Input& in_;
  std::vector<std::map<std::string, uint32_t>> zone_count_;
  std::vector<Amounts> free_, future_, used_;
  std::vector<std::unordered_map<size_t, uint32_t>> on_machine_;
  std::unordered_map<std::string, size_t> team_index_;
  std::unordered_map<size_t, std::vector<size_t>> by_machine_;
  std::vector<bool> stopped_;
  std::vector<const JobView*> full_;  // found no free room in this pass
  std::vector<bool> guaranteed_;
  double large_gpus_ = 0, cpus_per_gpu_ = 0, memory_per_gpu_ = 0;
  Decisions out_;
};

}  // namespace

bool holds(const MachineView& m, const std::string& image) {
  return contains(m.images, image) && !contains(m.fetching, image);
}

Decisions place(const Input& in) { return Placer(in).run(); }

}  // namespace damsonport::placing
