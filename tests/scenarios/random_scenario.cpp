#include "scenarios/random_scenario.hpp"

#include <fmt/format.h>

#include "scenarios/random_draw.hpp"

namespace damsonport::simulation {

namespace {

constexpr double last_cancel_s = 110;
constexpr double last_fault_s = last_cancel_s - 20;

/// Generates the lines of one scenario. The order of the draws determines the scenario of a seed.
/// New kinds of lines draw from `later_draws_`, so that the older lines of each seed stay
/// unchanged.
class ScenarioGenerator {
 public:
  explicit ScenarioGenerator(uint64_t seed) : seed_(seed), draw_(seed), later_draws_(~seed) {}

  std::vector<std::string> generate() {
    draw_deployment();
    draw_jobs();
    draw_gangs();
    draw_submissions();
    draw_cancellations();
    for (int i = 0, n = 3 + draw_.below(7); i < n; ++i) draw_fault();
    const bool with_outage_after_refusal = seed_ % 2 == 0;
    if (with_outage_after_refusal) draw_outage_after_refusal();
    draw_additional_faults();
    add_line("until 330");
    add_line("expect served");
    return lines_;
  }

 private:
  void add_line(std::string_view format, const auto&... args) {
    lines_.push_back(fmt::format(fmt::runtime(format), args...));
  }

  std::string draw_place() {
    return has_two_zones_ ? draw_.one_of("", "one_zone", "spread", "zone=a", "zone=b")
                          : std::string();
  }

  void draw_deployment() {
    has_two_zones_ = draw_.chance(0.4);
    const bool long_intervals = draw_.chance(0.4);  // long heartbeat intervals and leases
    add_line("controllers {} zones={}", draw_.chance(0.5) ? 3 : 5, has_two_zones_ ? "a,b" : "a");
    add_line("workers report={} lease={} cancel={}", long_intervals ? 4 : 1.5,
             long_intervals ? 32 : 12, long_intervals ? 62 : 42);
    add_line("team t gpus_max={}", draw_.chance(0.5) ? 64 : 14);
    add_line("team u cpus_max={}", draw_.chance(0.5) ? 200 : 40);
    add_line("type g cpus=64 gpus=8 memory=512 zones={} fetch=4", has_two_zones_ ? "a,b" : "a");
    add_line("machines 3 type=g zone=a");
    if (has_two_zones_) add_line("machines 2 type=g zone=b");
    if (draw_.chance(0.5)) add_line("machines 1 type=g zone=a spot");
    add_line("cloud capacity={} boot={}", 8 + draw_.below(5), draw_.one_of("1", "6", "15"));
    if (draw_.chance(0.3)) add_line("close_looks");
  }

  void draw_jobs() {
    // Jobs are numbered by kind, so that a range in a trace can name several jobs.
    add_line("jobs run-1..run-4 tasks=3 gpus=1 run=40 checkpoint=10 save=2 {}",
             draw_.one_of("", "spot"));
    add_line("jobs run-5..run-7 team=u tasks={} cpus=3 run=25 gb={}", 1 + draw_.below(4),
             draw_.one_of("1", "20"));
    add_line("jobs run-8..run-9 tasks=2 gpus=1 run=60 idle {}", draw_place());
    add_line("jobs run-10..run-12 service high tasks={} cpus=2 team=u {}", 1 + draw_.below(3),
             draw_place());
    add_line("jobs run-13..run-14 service production tasks=1 gpus=2 gb=8 image=big {}",
             draw_place());
    add_line("jobs run-15..run-34 tasks=1 cpus=1 run=6");
  }

  // Adds gangs, and limits of the key-value store that are lowered at some time.
  void draw_gangs() {
    add_line("announced kb=2 ops=4 writes=35");
    add_line("jobs run-35..run-37 gang tasks={} cpus=2 run=25 checkpoint=10 save=2 team=u {}",
             2 + draw_.below(4), draw_place());
    add_line("jobs run-38 gang high tasks=3 gpus=1 run=30 checkpoint=10 save=3 {}", draw_place());
    add_line("at {:.2f} submit run-35..run-38 every={}", draw_.uniform(8, 30),
             draw_.one_of("0.1", "6"));
    if (draw_.chance(0.5))
      add_line("at {:.2f} cancel run-{}", draw_.uniform(12, 60), 35 + draw_.below(4));
    add_line("at {:.2f} lower_limits", draw_.uniform(8, 60));
  }

  void draw_submissions() {
    add_line("at 6 submit run-1..run-14 every={}", draw_.one_of("0.05", "0.7", "2"));
    add_line("at {} submit run-15..run-34 every=0.4", draw_.uniform(8, 40));
  }

  void draw_cancellations() {
    for (int i = 0, n = 4 + draw_.below(8); i < n; ++i) {
      const int job = 1 + draw_.below(34);
      add_line("at {:.2f} cancel run-{} via={}", draw_.uniform(8, last_cancel_s), job,
               draw_.one_of("others", "nodes", "leader"));
    }
  }

  struct Fault {
    double at_s = 0;
    double for_s = 0;
    std::string machines;
    std::string controllers;
    std::string cut_kind;  // `hold` or `drop`
  };

  // Draws all values for every kind of fault, even those that the kind doesn't need, so that the
  // later draws don't depend on the kind.
  void draw_fault() {
    Fault fault;
    fault.at_s = draw_.uniform(10, last_fault_s);
    fault.for_s = draw_.chance(0.6) ? draw_.uniform(0.5, 12) : draw_.uniform(12, 60);
    fault.machines = draw_.one_of("m1", "m2,m3", "machines", "with:run-1", "with:run-10", "m4");
    fault.controllers = draw_.one_of("leader", "others", "n0", "n1", "nodes", "leader");
    fault.cut_kind = draw_.one_of("hold", "drop");
    const int kind = draw_.below(17);
    if (kind <= 6) return draw_controller_or_store_fault(fault, kind);
    if (kind <= 10 || kind == 15) return draw_partition(fault, kind);
    draw_machine_fault_or_requests(fault, kind);
  }

  void draw_controller_or_store_fault(const Fault& fault, int kind) {
    switch (kind) {
      case 0:
      case 1:
        // This fault never crashes all controllers at once. If every controller that knows of a
        // cancellation crashed during an outage of the key-value store, the cancellation would be
        // lost, and no implementation could keep the rule.
        add_line("at {:.2f} crash {} for={:.2f}", fault.at_s,
                 fault.controllers == "nodes" ? "n2" : fault.controllers,
                 draw_.one_of("0.3", "3", "9") == "0.3" ? 0.3 : 5.0);
        break;
      case 2:
        add_line("at {:.2f} refuse leader for={:.2f}", fault.at_s, fault.for_s);
        add_line("at {:.2f} outage for={:.2f}", fault.at_s + draw_.uniform(0.5, 3), fault.for_s);
        add_line("at {:.2f} cancel run-{},run-{} via=others", fault.at_s + draw_.uniform(0, 1.5),
                 1 + draw_.below(10), 10 + draw_.below(5));
        break;
      case 3:
        add_line("at {:.2f} refuse {} for={:.2f}", fault.at_s, fault.controllers, fault.for_s);
        break;
      case 4:
        add_line("at {:.2f} outage for={:.2f}", fault.at_s, fault.for_s);
        break;
      case 5:
        add_line("at {:.2f} fate {} {} for={:.2f}", fault.at_s, draw_.one_of("late", "lost"),
                 draw_.one_of("", "of=leader", "of=n1"), std::min(fault.for_s, 8.0));
        break;
      case 6:
        add_line("at {:.2f} slow by={} for={:.2f}", fault.at_s, draw_.one_of("0.05", "0.4"),
                 std::min(fault.for_s, 20.0));
        break;
    }
  }

  void draw_partition(const Fault& fault, int kind) {
    switch (kind) {
      case 7:
        add_line("at {:.2f} cut {} from=nodes how={} {} for={:.2f}", fault.at_s, fault.machines,
                 fault.cut_kind, draw_.one_of("", "one_way"), fault.for_s);
        break;
      case 8:
        add_line("at {:.2f} cut nodes from={} how={} one_way for={:.2f}", fault.at_s,
                 fault.machines, fault.cut_kind, fault.for_s);
        break;
      case 9:
        add_line("at {:.2f} cut leader from=nodes,state how={} for={:.2f}", fault.at_s,
                 fault.cut_kind, fault.for_s);
        break;
      case 10:
        add_line("at {:.2f} cut nodes from=nodes how={} for={:.2f}", fault.at_s, fault.cut_kind,
                 fault.for_s);
        break;
      case 15:
        if (has_two_zones_)
          add_line("at {:.2f} cut zone:a from=zone:b how={} for={:.2f}", fault.at_s, fault.cut_kind,
                   fault.for_s);
        else
          add_line("at {:.2f} cut leader from=machines how={} for={:.2f}", fault.at_s,
                   fault.cut_kind, fault.for_s);
        break;
    }
  }

  void draw_machine_fault_or_requests(const Fault& fault, int kind) {
    switch (kind) {
      case 11:
        add_line("at {:.2f} hang {} for={:.2f}", fault.at_s, fault.machines, fault.for_s);
        break;
      case 12:
        add_line("at {:.2f} {} {} for={:.2f}", fault.at_s, draw_.one_of("deaf", "mute"),
                 fault.machines, fault.for_s);
        break;
      case 13:
        add_line("at {:.2f} die {}", fault.at_s, draw_.one_of("m1", "m2", "m3"));
        break;
      case 14: {
        add_line("at {:.2f} keep machines", fault.at_s);
        for (int k = 0; k < 3; ++k)
          add_line("at {:.2f} late_report machines to=nodes", fault.at_s + draw_.uniform(0.5, 30));
        add_line("at {:.2f} crash leader for=3", fault.at_s + draw_.uniform(0, 10));
        break;
      }
      case 16:
        add_line("at {:.2f} repeat run-{},run-{} via=nodes", fault.at_s, 1 + draw_.below(9),
                 10 + draw_.below(9));
        add_line("at {:.2f} ask run-1..run-14 every=1 for=5", fault.at_s);
        break;
    }
  }

  // The key-value store refuses the leader, jobs are cancelled through other controllers, and then
  // an outage of the store begins. Further faults may aggravate the case.
  void draw_outage_after_refusal() {
    const double refused_at_s = draw_.uniform(14, 40);
    const double outage_at_s = refused_at_s + draw_.uniform(0.5, 3);
    add_line("at {:.2f} refuse leader for={:.2f}", refused_at_s, draw_.uniform(2, 20));
    for (int i = 0, n = 2 + draw_.below(4); i < n; ++i)
      add_line("at {:.2f} cancel run-{} via=others", draw_.uniform(refused_at_s, outage_at_s + 0.5),
               1 + draw_.below(14));
    add_line("at {:.2f} outage for={:.2f}", outage_at_s, draw_.uniform(5, 90));
    if (draw_.chance(0.5))
      add_line("at {:.2f} hang {} for={:.2f}", draw_.uniform(refused_at_s - 1, outage_at_s),
               draw_.one_of("m1", "m2,m3", "m4"), draw_.uniform(10, 100));
    for (int i = 0, n = draw_.below(3); i < n; ++i)
      add_line("at {:.2f} crash {} for={:.2f}", draw_.uniform(refused_at_s, outage_at_s + 40),
               draw_.one_of("n0", "n1", "n2"), draw_.uniform(0.3, 8));
    if (draw_.chance(0.25))
      add_line("at {:.2f} cut nodes from=nodes how={} for={:.2f}",
               draw_.uniform(refused_at_s - 2, outage_at_s + 10), draw_.one_of("hold", "drop"),
               draw_.uniform(5, 80));
    if (draw_.chance(0.25))
      add_line("at {:.2f} deaf {} for={:.2f}", draw_.uniform(refused_at_s - 2, outage_at_s),
               draw_.one_of("m1", "m2,m3"), draw_.uniform(5, 60));
  }

  // Adds paused processes, faulty jobs, machines that boot late or never, and a burst of small
  // jobs.
  void draw_additional_faults() {
    add_line("jobs run-39..run-40 tasks={} gpus=1 run=20 broken {}", 1 + later_draws_.below(5),
             later_draws_.one_of("", "spot"));
    add_line("at {:.2f} submit run-39..run-40 every=3", later_draws_.uniform(8, 40));
    add_line("at {:.2f} cancel run-39..run-40", later_draws_.uniform(60, 130));
    add_line("jobs run-41..run-70 tasks=1 cpus=0.25 run=15 idle spot team=u");
    add_line("at {:.2f} submit run-41..run-70 every=0.08", later_draws_.uniform(8, 90));
    for (int i = 0, n = later_draws_.below(3); i < n; ++i)
      add_line(
          "at {:.2f} stall {} for={:.2f}", later_draws_.uniform(10, 110),
          later_draws_.one_of("leader", "leader", "n0", "n1", "others"),
          later_draws_.chance(0.5) ? later_draws_.uniform(0.5, 10) : later_draws_.uniform(10, 70));
    add_line("at {:.2f} boots {} in={:.2f} for={:.2f}", later_draws_.uniform(4, 60),
             later_draws_.one_of("late", "late", "never"),
             later_draws_.chance(0.5) ? 1 : later_draws_.uniform(20, 60),
             later_draws_.uniform(5, 30));
  }

  const uint64_t seed_;
  RandomDraw draw_;
  RandomDraw later_draws_;
  bool has_two_zones_ = false;  // zones a and b instead of a alone
  std::vector<std::string> lines_;
};

}  // namespace

std::vector<std::string> random_scenario(uint64_t seed, RepeatedRequests copies) {
  auto lines = ScenarioGenerator(seed).generate();
  if (copies == RepeatedRequests::drawn)
    for (auto& line : random_copies(seed)) lines.push_back(line);
  return lines;
}

}  // namespace damsonport::simulation
