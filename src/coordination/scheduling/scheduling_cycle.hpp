// One pass of placement: the state it keeps while it decides for one waiting job after another.
// Internal to placement; its parts are in placement.cpp (order, rules, plain jobs),
// placement_cost.cpp, placement_preemption.cpp and placement_gang.cpp.
#pragma once
#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/scheduler.hpp"

namespace damsonport::scheduling {

constexpr int urgent_priority = 2;  // high and production
constexpr double never = std::numeric_limits<double>::infinity();
constexpr size_t nowhere = static_cast<size_t>(-1);

template <class T>
bool contains(const std::vector<T>& list, const T& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

class SchedulingCycle {
 public:
  explicit SchedulingCycle(const SchedulerSnapshot& in);
  // Decides for every waiting job, the most urgent first.
  Decisions run();

 private:
  // Where the tasks of a waiting job are.
  struct PlacementCount {
    std::vector<uint32_t> in_zone;
    std::vector<size_t> on;  // machines, one entry a task
  };

  PlacementCount& placement_count(size_t j) { return placement_counts_[placement_count_of_[j]]; }

  const PlacementCount& placement_count(size_t j) const {
    return placement_counts_[placement_count_of_[j]];
  }

  // Gives each waiting job its tally, and the replicas of a job one together.
  void prepare_placement_counts();

  // The one look at everything that is on the machines.
  void count_machine(size_t m);

  bool is_stopping(const RunningTaskSnapshot& l) const {
    return l.stopping || in_.jobs[l.job].cancelled;
  }

  static bool has_room(const Resources& a) { return a.cpus > 0 || a.gpus > 0 || a.memory_gb > 0; }

  // Replicas of the job being placed, by machine; wiped when it is done with.
  void recall_replicas(size_t j);
  void forget_replicas(size_t j);

  // The shapes that matter for keeping room whole: the most accelerators that one task asks for,
  // and the CPUs and memory that go with an accelerator. Work that may use spot machines has room
  // of its own there and counts only where there is no other.
  void measure_shapes();

  // Accelerators that can be used in this room, going by the CPUs and memory beside them.
  double usable_gpus(const Resources& room) const;

  // A job is within its team's guarantee when it fits into it with the team's earlier ones.
  void judge_guarantees();

  int urgency(size_t j) const;

  bool precedes(size_t a, size_t b) const;

  // Among equals by deadline, and by age where there is none. When more is asked than can be done,
  // what can't be in time any more would make the next one late too, so it goes behind for a while;
  // but not for ever, since it has to run as well.
  double queue_key(const JobSnapshot& job) const;

  bool team_allows(size_t j) const;

  bool zone_allows(size_t j, NameId zone) const;

  // Type, zone and kind of machine, as the job's rules have them.
  bool matches_constraints(size_t j, NameId type, NameId zone, bool spot) const;

  bool is_feasible(size_t j, size_t m) const;

  double image_delay(const JobSnapshot& job, const MachineSnapshot& m) const;

  // Chance that a fetch of this length, give or take a third, is too long for what is expected.
  static double miss_chance(double fetch, double within);

  // The start would use a machine that is empty and could else be given back.
  bool uses_empty_machine(size_t j, size_t m) const;

  // Seconds, or what counts like them: the lower, the better the machine for this task.
  double score(size_t j, size_t m, const Resources& room) const;

  void place_job(size_t j);

  // Room for one more task of the job that isn't free yet.
  enum class PromisedRoom : uint8_t { none, coming, booting };
  PromisedRoom promise_room(size_t j);

  // The machines are judged once for the whole job: what one start changes is the judgement of its
  // own machine, and of those that the job's zones then rule out.
  // `coming` grows by those for which room is being made instead.
  uint32_t start_what_fits(size_t j, uint32_t most, uint32_t& coming);

  // Free room only shrinks during a pass, so where a task found none, no task that needs at least
  // as much under the same rules does: under overload the like are decided as a class. Jobs bound
  // to the zones of their own tasks, or kept off some machines, speak for themselves only.
  static bool same_rules(const JobSnapshot& a, const JobSnapshot& b);

  bool is_known_unschedulable(const JobSnapshot& job) const;

  bool represents_class(const JobSnapshot& job) const;

  void mark_unschedulable(const JobSnapshot& job);

  // --- gangs
  // Machines for the tasks of a gang, one entry a task; fewer than wait where room is short.
  struct GangPlan {
    std::vector<size_t> machines;
    double score = 0;
  };
  // All of it or nothing: decided once for the whole gang.
  void place_gang(size_t j);
  bool team_allows_whole(size_t j) const;
  // Which zone and machines the parts that run already leave to the others.
  void bind_replica(size_t j);
  // Whether all that wait may start in one zone, as the job's spread goes.
  bool fits_one_zone(size_t j) const;
  // A replica of the same job, that needs as much, found no room in this pass.
  bool sibling_found_no_room(size_t j) const;
  void note_unschedulable_gang(size_t j, const GangPlan& plan);
  // The only zone that the rest of the gang may go to; 0: there are several, or none.
  NameId only_zone_for(size_t j, const GangPlan& plan) const;
  // The best among the zones that the gang may start in.
  GangPlan plan_gang(size_t j) const;
  GangPlan plan_gang_in(size_t j, NameId zone, bool only_with_image) const;
  double gang_machine_cost(size_t j, size_t m, uint32_t tasks) const;
  uint32_t zone_allowance(size_t j, NameId zone) const;
  void take_gang_plan(size_t j, const GangPlan& plan);
  // Where free room is short: what comes free, what boots, and what may be stopped. Changes nothing
  // unless there is enough for all.
  bool reserve_for_gang(size_t j, const GangPlan& partial);
  // One gang at a time keeps what room there is, for a bounded time.
  bool may_hold_room(size_t j) const;
  NameId zone_of(const GangPlan& plan) const;

  void note_unschedulable(size_t j, uint32_t left, uint32_t coming);

  void occupy(size_t j, size_t m);

  // Bounds on room beside an image: free within that time, at a lower cost.
  struct BesideImage {
    double within_s, cheaper_than;
  };
  bool claim_coming(size_t j, std::optional<BesideImage> beside_image = {});

  bool claim_booting(size_t j);

  // Uses what is free first and takes the rest from what comes free.
  void take_future(size_t j, size_t m);

  static bool standing(const JobSnapshot& job);

  bool may_stop(size_t j, const RunningTaskSnapshot& v) const;

  // Within how many seconds this job is expected to start.
  double expected_within(size_t j) const;

  double age(const RunningTaskSnapshot& v) const { return std::max(in_.steady_now - v.since, 0.0); }

  // Work lost by stopping it without time to save.
  double abrupt_loss(const RunningTaskSnapshot& v) const;

  // What saves by itself loses half an interval when it is stopped at once, about what the saving
  // would take. It is stopped so for what could not wait for the saving.
  bool abruptly(size_t j, size_t m, const RunningTaskSnapshot& v) const;

  double loss(const RunningTaskSnapshot& v, bool abrupt) const;

  // Where a job found nothing to be stopped, none finds it that needs as much under the same rules
  // and may stop no more.
  bool known_hopeless(size_t j, bool also_standing) const;

  // Tasks to be stopped on one machine so that the job's next one has room there, and what that
  // costs.
  struct Eviction {
    double score = never;
    size_t machine = nowhere;
    std::vector<size_t> live;  // places in the machine's list
  };
  Eviction cheapest_eviction(size_t j, bool also_standing);
  // The cheapest on this machine; its cost is `never` where nothing is to be stopped.
  Eviction eviction_on(size_t j, size_t m, bool also_standing) const;
  void evict(size_t j, const Eviction& eviction);
  bool make_room(size_t j, bool also_standing);
  // Where a fetch would likely make the start late: stops cheaper work, if any, on a machine that
  // holds the image. `fetch_s` and `cost`: of starting on the best machine that has room.
  bool make_room_beside_image(size_t j, double fetch_s, double score);
  // Until all that is stopped on the machine has saved.
  double time_to_save(size_t m) const;
  // What the machine costs the job once the tasks are stopped.
  double machine_cost_after(size_t j, const Eviction& eviction) const;
  bool beside_image_in_time(size_t j, const Eviction& eviction, double precedes) const;
  void stop_task(size_t m, size_t live, double grace_s);
  // Stops every task of a gang at once: one alone could not save.
  void stop_gang(size_t victim_job);
  bool gang_is_stopping(size_t victim_job) const;

  const SchedulerSnapshot& in_;
  std::vector<Resources> free_, future_, used_;
  std::vector<uint32_t> replicas_;
  std::vector<int> least_urgent_;             // of what could be stopped, by machine
  std::vector<std::vector<size_t>> stopped_;  // in this pass, by machine
  std::vector<size_t> placement_count_of_;    // by job: its place in placement_counts_
  std::vector<PlacementCount> placement_counts_;
  std::vector<size_t> order_;   // waiting jobs
  std::vector<size_t> coming_;  // machines where room comes free; some may stand in it twice
  std::vector<const JobSnapshot*> full_;  // found no free room in this pass
  // Found nothing to be stopped since the last stop: without standing replicas, and with them.
  std::array<std::vector<size_t>, 2> hopeless_;
  std::vector<BootingMachine> booting_;
  std::vector<bool> guaranteed_;
  std::vector<int> urgency_;
  double large_gpus_ = 0, cpus_per_gpu_ = 0, memory_per_gpu_ = 0;
  // By job: where the tasks of a gang are, as machine and place in its list.
  struct GangPart {
    size_t machine, live;
  };
  std::unordered_map<size_t, std::vector<GangPart>> gang_parts_;
  bool room_held_ = false;  // for a gang, in this pass
  // Of the replica that is being placed: its parts have to be together in this zone (0: in any
  // one), and by machine whether one of them is there.
  bool parts_together_ = false;
  NameId parts_zone_ = 0;
  std::vector<uint8_t> part_on_;
  // The replica_set that found no room for a whole replica last, and what was said of it.
  std::optional<UnschedulableTasks> replica_set_without_capacity_;
  Decisions out_;
};

}  // namespace damsonport::scheduling
