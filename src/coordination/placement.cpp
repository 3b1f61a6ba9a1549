#include "coordination/placement.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>

namespace damsonport::placing {

namespace {

constexpr double missed_cost = 25;  // seconds that a start later than expected counts for
constexpr int urgent_priority = 2;  // high and production
constexpr double never = std::numeric_limits<double>::infinity();
constexpr size_t nowhere = static_cast<size_t>(-1);

template <class T>
bool contains(const std::vector<T>& list, const T& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

class Placer {
 public:
  explicit Placer(const Input& in)
      : in_(in),
        future_(in.machines.size()),
        used_(in.teams.size()),
        replicas_(in.machines.size()),
        least_urgent_(in.machines.size(), std::numeric_limits<int>::max()),
        stopped_(in.machines.size()),
        tally_of_(in.jobs.size(), nowhere),
        booting_(in.booting) {
    judge_guarantees();
    for (size_t j = 0; j < in.jobs.size(); ++j) {
      if (in.jobs[j].waiting == 0 || in.jobs[j].cancelled) continue;
      tally_of_[j] = tallies_.size();
      tallies_.push_back({std::vector<uint32_t>(in.zones.size()), {}});
      order_.push_back(j);
    }
    free_.reserve(in.machines.size());
    for (size_t m = 0; m < in.machines.size(); ++m) count_machine(m);
    measure_shapes();
  }

  Decisions run() {
    std::sort(order_.begin(), order_.end(), [&](size_t a, size_t b) { return before(a, b); });
    for (size_t j : order_) {
      recall_replicas(j);
      if (in_.jobs[j].gang) {
        place_gang(j);
      } else {
        place_job(j);
      }
      for (size_t m : tally(j).on) replicas_[m] = 0;
    }
    return std::move(out_);
  }

 private:
  // Where the tasks of a waiting job are.
  struct Tally {
    std::vector<uint32_t> in_zone;
    std::vector<size_t> on;  // machines, one entry a task
  };
  Tally& tally(size_t j) { return tallies_[tally_of_[j]]; }
  const Tally& tally(size_t j) const { return tallies_[tally_of_[j]]; }

  // The one look at everything that is on the machines.
  void count_machine(size_t m) {
    auto& machine = in_.machines[m];
    free_.push_back(machine.free);
    for (auto& l : machine.live) {
      auto& job = in_.jobs[l.job];
      if (job.team != no_team) used_[job.team] += job.need;
      if (is_stopping(l)) {
        future_[m] += job.need;
      } else {
        least_urgent_[m] = std::min(least_urgent_[m], urgency_[l.job]);
      }
      if (tally_of_[l.job] == nowhere) continue;
      ++tally(l.job).in_zone[machine.zone];
      tally(l.job).on.push_back(m);
    }
    if (has_room(future_[m])) coming_.push_back(m);
  }
  bool is_stopping(const LiveView& l) const { return l.stopping || in_.jobs[l.job].cancelled; }
  static bool has_room(const Amounts& a) { return a.cpus > 0 || a.gpus > 0 || a.memory_gb > 0; }

  // Replicas of the job being placed, by machine; wiped when it is done with.
  void recall_replicas(size_t j) {
    for (size_t m : tally(j).on) ++replicas_[m];
  }

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
    urgency_.assign(in_.jobs.size(), 0);
    std::vector<size_t> order(in_.jobs.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
      return in_.jobs[a].accepted_at < in_.jobs[b].accepted_at;
    });
    std::vector<Amounts> sum(in_.teams.size());
    for (size_t j : order) {
      auto& job = in_.jobs[j];
      if (job.team != no_team && !job.cancelled) {
        auto& g = in_.teams[job.team].guaranteed;
        auto& s = sum[job.team];
        s.cpus += job.need.cpus * job.unfinished;
        s.gpus += job.need.gpus * job.unfinished;
        constexpr double eps = 1e-6;
        guaranteed_[j] = (g.cpus > 0 || g.gpus > 0) && (g.cpus <= 0 || s.cpus <= g.cpus + eps) &&
                         (g.gpus <= 0 || s.gpus <= g.gpus + eps);
      }
      urgency_[j] = urgency(j);
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
    if (urgency_[a] != urgency_[b]) return urgency_[a] > urgency_[b];
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
    if (job.team == no_team) return false;
    constexpr double eps = 1e-6;
    auto& limit = in_.teams[job.team].limit;
    auto& used = used_[job.team];
    return (limit.cpus <= 0 || used.cpus + job.need.cpus <= limit.cpus + eps) &&
           (limit.gpus <= 0 || used.gpus + job.need.gpus <= limit.gpus + eps);
  }

  bool zone_allows(size_t j, NameId zone) const {
    auto& job = in_.jobs[j];
    if (job.zone != 0 && job.zone != zone) return false;
    if (!job.one_zone && !job.spread) return true;
    auto& count = tally(j).in_zone;
    // A machine known only from the records, after a change of holder, has no zone yet: its tasks
    // may be in any.
    const uint32_t unknown = count[0];
    if (job.one_zone) {
      if (unknown > 0) return false;
      for (NameId z = 0; z < count.size(); ++z)
        if (count[z] > 0 && z != zone) return false;
    }
    return !job.spread || count[zone] + unknown + 1 <= (job.tasks + 1) / 2;
  }

  // Type, zone and kind of machine, as the job's rules have them.
  bool suits(size_t j, NameId type, NameId zone, bool spot) const {
    auto& job = in_.jobs[j];
    return (!spot || job.spot) && (job.types.empty() || contains(job.types, type)) &&
           zone_allows(j, zone);
  }

  bool allowed(size_t j, size_t m) const {
    auto& job = in_.jobs[j];
    auto& machine = in_.machines[m];
    return machine.open && job.need.fits(machine.total) &&
           suits(j, machine.type, machine.zone, machine.spot) &&
           (machine.bad_jobs.empty() || !contains(machine.bad_jobs, job.id));
  }

  double image_delay(const JobView& job, const MachineView& m) const {
    double fetch = job.image_gb / std::max(m.fetch_gb_per_s, 1e-3);
    if (contains(m.fetching, job.image)) return fetch * 0.5;
    if (contains(m.images, job.image)) return 0;
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
    // Replicas apart, so that one machine's loss takes few of them.
    if (job.service) c += 2.0 * replicas_[m];
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
    uint32_t coming = 0;
    if (!team_allows(j)) return;
    if (!known_full(job)) {
      left -= start_what_fits(j, left);
      if (left > 0 && team_allows(j)) note_full(job);
    }
    uint32_t patient = 0;
    while (left > 0) {
      if (!team_allows(j)) break;
      // Room that is being made already serves the most urgent first. Standing replicas are stopped
      // only for what no machine on its way has room for: they would come back later than it.
      if (claim_coming(j) || make_room(j, false)) {
        ++coming;
      } else if (claim_booting(j)) {
        ++patient;
      } else if (make_room(j, true)) {
        ++coming;
      } else {
        note_unplaced(j, left + patient, coming);
        return;
      }
      --left;
    }
    note_unplaced(j, patient, coming);
  }

  // The machines are judged once for the whole job: what one start changes is the judgement of its
  // own machine, and of those that the job's zones then rule out.
  uint32_t start_what_fits(size_t j, uint32_t most) {
    auto& job = in_.jobs[j];
    struct Candidate {
      double cost;
      size_t machine;
      // The best on top of the heap, and among equals the first.
      bool operator<(const Candidate& o) const {
        return cost != o.cost ? cost > o.cost : machine > o.machine;
      }
    };
    std::vector<Candidate> heap;
    out_.examined += in_.machines.size();
    for (size_t m = 0; m < in_.machines.size(); ++m)
      if (job.need.fits(free_[m]) && allowed(j, m)) heap.push_back({cost(j, m, free_[m]), m});
    std::make_heap(heap.begin(), heap.end());
    uint32_t started = 0;
    while (started < most && !heap.empty() && team_allows(j)) {
      std::pop_heap(heap.begin(), heap.end());
      const size_t m = heap.back().machine;
      heap.pop_back();
      ++out_.examined;
      if (!zone_allows(j, in_.machines[m].zone)) continue;
      occupy(j, m);
      free_[m] -= job.need;
      out_.starts.push_back({j, m});
      ++started;
      if (!job.need.fits(free_[m])) continue;
      heap.push_back({cost(j, m, free_[m]), m});
      std::push_heap(heap.begin(), heap.end());
    }
    return started;
  }

  // Free room only shrinks during a pass, so where a task found none, no task that needs at least
  // as much under the same rules does: under overload the like are decided as a class. Jobs bound
  // to the zones of their own tasks, or kept off some machines, speak for themselves only.
  static bool same_rules(const JobView& a, const JobView& b) {
    return a.spot == b.spot && a.zone == b.zone && a.types == b.types;
  }
  bool known_full(const JobView& job) const {
    return std::any_of(full_.begin(), full_.end(), [&](const JobView* f) {
      return f->need.fits(job.need) && same_rules(*f, job);
    });
  }
  bool speaks_for_others(const JobView& job) const {
    if (job.one_zone || job.spread) return false;
    return std::none_of(in_.machines.begin(), in_.machines.end(), [&](auto& m) {
      return !m.bad_jobs.empty() && contains(m.bad_jobs, job.id);
    });
  }
  void note_full(const JobView& job) {
    if (speaks_for_others(job)) full_.push_back(&job);
  }

  // All of it or nothing, and nothing is stopped for it.
  void place_gang(size_t j) {
    const auto& job = in_.jobs[j];
    const size_t before = out_.starts.size();
    const auto used = used_;
    const auto places = tally(j);
    if (start_what_fits(j, job.waiting) == job.waiting) return;
    for (size_t i = before; i < out_.starts.size(); ++i) {
      free_[out_.starts[i].machine] += job.need;
      --replicas_[out_.starts[i].machine];
    }
    out_.starts.resize(before);
    used_ = used;
    tally(j) = places;
    note_unplaced(j, job.waiting, 0);
  }

  void note_unplaced(size_t j, uint32_t left, uint32_t coming) {
    if (left) out_.unplaced.push_back({j, left, guaranteed_[j], false});
    if (coming) out_.unplaced.push_back({j, coming, guaranteed_[j], true});
  }

  void occupy(size_t j, size_t m) {
    used_[in_.jobs[j].team] += in_.jobs[j].need;
    ++tally(j).in_zone[in_.machines[m].zone];
    tally(j).on.push_back(m);
    ++replicas_[m];
  }

  bool claim_coming(size_t j) {
    out_.examined += coming_.size();
    auto& need = in_.jobs[j].need;
    double best = never;
    size_t where = 0;
    for (size_t m : coming_) {
      if (!has_room(future_[m])) continue;
      Amounts both = free_[m];
      both += future_[m];
      if (!need.fits(both) || !allowed(j, m)) continue;
      double c = cost(j, m, both);
      if (c < best || (c == best && m < where)) best = c, where = m;
    }
    if (best == never) return false;
    take_future(j, where);
    return true;
  }

  bool claim_booting(size_t j) {
    auto& job = in_.jobs[j];
    for (auto& b : booting_) {
      if (!job.need.fits(b.room) || !suits(j, b.type, b.zone, b.spot)) continue;
      b.room -= job.need;
      used_[job.team] += job.need;  // it starts there in a moment
      return true;
    }
    return false;
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
    occupy(j, m);
  }

  static bool standing(const JobView& job) {
    return job.service && job.priority >= urgent_priority;
  }

  bool may_stop(size_t j, const LiveView& v) const {
    auto& job = in_.jobs[j];
    auto& victim = in_.jobs[v.job];
    // Only what would also be placed after it: what is placed first would take the room again, and
    // the two would drive one another out for ever.
    if (urgency_[j] <= urgency_[v.job] || is_stopping(v)) return false;
    if (victim.priority < job.priority) return true;
    // For its guarantee a team may take back what another team borrows; standing replicas of the
    // same or a higher rank are left alone all the same, since each stop is seen by users.
    return guaranteed_[j] && !guaranteed_[v.job] && victim.team != job.team && !victim.service &&
           victim.priority < 3;
  }

  // Within how many seconds this job is expected to start.
  double expected_within(size_t j) const {
    double s = never;
    if (in_.jobs[j].start_within_s > 0) s = in_.jobs[j].start_within_s;
    if (guaranteed_[j] && in_.guarantee_within_s > 0) s = std::min(s, in_.guarantee_within_s);
    return s;
  }

  double age(const LiveView& v) const { return std::max(in_.steady_now - v.since, 0.0); }
  // Work lost by stopping it without time to save.
  double abrupt_loss(const LiveView& v) const {
    return std::min(age(v), in_.jobs[v.job].checkpoint_s / 2);
  }

  // What saves by itself loses half an interval when it is stopped at once, about what the saving
  // would take. It is stopped so for what could not wait for the saving.
  bool abruptly(size_t j, size_t m, const LiveView& v) const {
    const double grace = in_.jobs[v.job].grace_s;
    return grace > 0 && abrupt_loss(v) <= 2 * grace &&
           image_delay(in_.jobs[j], in_.machines[m]) + grace > expected_within(j);
  }

  double loss(const LiveView& v, bool abrupt) const {
    auto& victim = in_.jobs[v.job];
    // Stopped with time to save it loses nothing but that time.
    const double lost =
        victim.checkpoint_s > 0 ? 0 : std::min(age(v), std::max(victim.estimate_s, 1.0) * 2);
    double c = (abrupt ? abrupt_loss(v) : lost + victim.grace_s) + 2 + victim.priority * 15;
    if (victim.service) c += 60;
    if (age(v) < in_.start_counts_s) c += 10;
    if (guaranteed_[v.job]) c += 15;
    return c;
  }

  // Where a job found nothing to be stopped, none finds it that needs as much under the same rules
  // and may stop no more.
  bool known_hopeless(size_t j, bool also_standing) const {
    auto& known = hopeless_[also_standing];
    return std::any_of(known.begin(), known.end(), [&](size_t h) {
      auto &a = in_.jobs[h], &b = in_.jobs[j];
      return a.need.fits(b.need) && same_rules(a, b) && urgency_[j] <= urgency_[h] &&
             b.priority <= a.priority && (!guaranteed_[j] || (guaranteed_[h] && a.team == b.team));
    });
  }

  bool make_room(size_t j, bool also_standing) {
    if (known_hopeless(j, also_standing)) return false;
    auto& job = in_.jobs[j];
    double best = never;
    size_t where = 0;
    std::vector<size_t> best_set, victims, set;
    for (size_t m = 0; m < in_.machines.size(); ++m) {
      if (least_urgent_[m] >= urgency_[j]) continue;
      ++out_.examined;
      if (!allowed(j, m)) continue;
      auto& live = in_.machines[m].live;
      victims.clear();
      for (size_t i = 0; i < live.size(); ++i)
        if (may_stop(j, live[i]) && (also_standing || !standing(in_.jobs[live[i].job])) &&
            !contains(stopped_[m], i))
          victims.push_back(i);
      auto lost = [&](size_t i) { return loss(live[i], abruptly(j, m, live[i])); };
      std::sort(victims.begin(), victims.end(),
                [&](size_t a, size_t b) { return lost(a) < lost(b); });
      Amounts room = free_[m];
      room += future_[m];
      set.clear();
      double c = image_delay(job, in_.machines[m]);
      for (size_t i : victims) {
        if (job.need.fits(room)) break;
        auto& need = in_.jobs[live[i].job].need;
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
    if (best == never) {
      if (speaks_for_others(job)) hopeless_[also_standing].push_back(j);
      return false;
    }
    auto& live = in_.machines[where].live;
    for (size_t i : best_set) {
      out_.stops.push_back(
          {where, i, abruptly(j, where, live[i]) ? 0 : in_.jobs[live[i].job].grace_s});
      stopped_[where].push_back(i);
      future_[where] += in_.jobs[live[i].job].need;
    }
    take_future(j, where);
    coming_.push_back(where);
    for (auto& known : hopeless_) known.clear();  // more may be coming now than this job takes
    return true;
  }

  const Input& in_;
  std::vector<Amounts> free_, future_, used_;
  std::vector<uint32_t> replicas_;
  std::vector<int> least_urgent_;             // of what could be stopped, by machine
  std::vector<std::vector<size_t>> stopped_;  // in this pass, by machine
  std::vector<size_t> tally_of_;              // by job: its place in tallies_
  std::vector<Tally> tallies_;
  std::vector<size_t> order_;         // waiting jobs
  std::vector<size_t> coming_;        // machines where room comes free; some may stand in it twice
  std::vector<const JobView*> full_;  // found no free room in this pass
  // Found nothing to be stopped since the last stop: without standing replicas, and with them.
  std::array<std::vector<size_t>, 2> hopeless_;
  std::vector<BootingView> booting_;
  std::vector<bool> guaranteed_;
  std::vector<int> urgency_;
  double large_gpus_ = 0, cpus_per_gpu_ = 0, memory_per_gpu_ = 0;
  Decisions out_;
};

}  // namespace

bool holds(const MachineView& m, NameId image) {
  return contains(m.images, image) && !contains(m.fetching, image);
}

Decisions place(const Input& in) { return Placer(in).run(); }

}  // namespace damsonport::placing
