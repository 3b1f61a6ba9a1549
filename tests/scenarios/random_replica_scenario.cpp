#include "scenarios/random_replica_scenario.hpp"

#include <fmt/format.h>

#include "scenarios/random_draw.hpp"

namespace damsonport::simulation {

namespace {

/// Generates the lines of one scenario. The order of the draws determines the scenario of a seed.
class ReplicaScenarioGenerator {
 public:
  explicit ReplicaScenarioGenerator(uint64_t seed) : draw_(seed) {}

  std::vector<std::string> generate() {
    add_deployment();
    add_jobs();
    const int faults = 4 + draw_.below(7);
    for (int i = 0; i < faults; ++i) add_fault();
    add_line("until 330");
    add_line("expect served");
    for (auto& job : uncancelled_jobs_)
      add_line("expect replicas_ready {} count={}", job.first, job.second);
    return lines_;
  }

 private:
  void add_line(std::string_view format, const auto&... args) {
    lines_.push_back(fmt::format(fmt::runtime(format), args...));
  }

  void add_deployment() {
    has_two_zones_ = draw_.chance(0.5);
    const bool long_intervals = draw_.chance(0.3);  // long heartbeat intervals and leases
    parts_per_replica_ = 2 + draw_.below(2);
    add_line("controllers {} zones={}", draw_.chance(0.5) ? 3 : 5, has_two_zones_ ? "a,b" : "a");
    add_line("workers report={} lease={} cancel={}", long_intervals ? 4 : 1.5,
             long_intervals ? 32 : 12, long_intervals ? 62 : 42);
    add_line("replicas (class model (parts {}) (distinct-machines {}) (repairs {}) (moves {}))",
             parts_per_replica_, draw_.one_of("yes", "no"), 1 + draw_.below(4), draw_.below(3));
    add_line("team t gpus_max={}", draw_.chance(0.5) ? 200 : 60);
    add_line("type g cpus=64 gpus=8 memory=512 zones={} fetch={}", has_two_zones_ ? "a,b" : "a",
             draw_.one_of("2", "10"));
    add_line("machines {} type=g zone=a", has_two_zones_ ? 4 : 8);
    if (has_two_zones_) add_line("machines 5 type=g zone=b");
    add_line("cloud capacity=18 boot={}", draw_.one_of("1", "6", "15"));
    // Small limits of the key-value store divide the records of a replica into two chunks, and
    // bound transactions to a few writes.
    if (draw_.chance(0.3)) add_line("state kb=1 ops=3");
  }

  void add_jobs() {
    const auto place = has_two_zones_ ? draw_.one_of("", "spread", "one_zone", "") : std::string();
    for (int job = 1; job <= 3; ++job) {
      const int replicas = 1 + draw_.below(3);
      add_line("jobs run-{} class=model service production tasks={} gpus=2 cpus=8 gb={} {}", job,
               replicas * parts_per_replica_, draw_.one_of("2", "20"), place);
      const bool cancelled = draw_.chance(0.2);
      if (cancelled) add_line("at {:.2f} cancel run-{}", draw_.uniform(8, 110), job);
      if (!cancelled) uncancelled_jobs_.emplace_back(fmt::format("run-{}", job), replicas);
    }
    add_line("jobs run-4..run-9 tasks=3 gpus=1 run=30 checkpoint=10 save=2 idle");
    add_line("at 6 submit run-1..run-9 every={}", draw_.one_of("0.05", "1", "4"));
  }

  void add_fault() {
    const double at_s = draw_.uniform(6, 100);
    const double for_s = draw_.chance(0.6) ? draw_.uniform(0.5, 12) : draw_.uniform(12, 50);
    const auto machines =
        draw_.one_of("m1", "m2,m3", "with:run-1/0", "with:run-2", "with:run-1/1,m4");
    const auto controllers = draw_.one_of("leader", "leader", "others", "n0", "n1");
    const auto cut_kind = draw_.one_of("hold", "drop");
    switch (draw_.below(14)) {
      case 0:
        return add_line("at {:.2f} crash {} for={:.2f}", at_s, controllers, draw_.uniform(0.3, 6));
      case 1:
        return add_line("at {:.2f} die {}", at_s, machines);
      case 2:
        add_line("at {:.2f} die with:run-1/0", at_s);
        return add_line("at {:.2f} crash leader for=5", at_s + draw_.uniform(0, 12));
      case 3:
        return add_line("at {:.2f} cut {} from=nodes how={} {} for={:.2f}", at_s, machines,
                        cut_kind, draw_.one_of("", "one_way"), for_s);
      case 4:
        return add_line("at {:.2f} cut leader from=state how={} for={:.2f}", at_s, cut_kind, for_s);
      case 5:
        return add_line("at {:.2f} refuse leader for={:.2f}", at_s, for_s);
      case 6:
        add_line("at {:.2f} die with:run-2/0", at_s - draw_.uniform(0, 6));
        return add_line("at {:.2f} outage for={:.2f}", at_s, for_s);
      case 7:
        return add_line("at {:.2f} fate {} for={:.2f}", at_s, draw_.one_of("lost", "late"),
                        std::min(for_s, 8.0));
      case 8:
        return add_line("at {:.2f} stall {} for={:.2f}", at_s, controllers, for_s);
      case 9:
        return add_line("at {:.2f} {} {} for={:.2f}", at_s, draw_.one_of("hang", "deaf", "mute"),
                        machines, for_s);
      case 10:
        add_line("at {:.2f} keep machines", at_s);
        for (int i = 0; i < 3; ++i)
          add_line("at {:.2f} late_report machines to=nodes", at_s + draw_.uniform(0.5, 30));
        return add_line("at {:.2f} crash leader for=3", at_s + draw_.uniform(0, 10));
      case 11:
        add_line("at {:.2f} crash_on_write run-{} times={} after={:.4f} for=5", at_s,
                 1 + draw_.below(3), 1 + draw_.below(3), draw_.uniform(0, 0.01));
        return add_line("at {:.2f} die {}", at_s, machines);
      case 12:
        return add_line("at {:.2f} sick {} for={:.2f}", at_s, machines, for_s);
      default:
        return add_line("at {:.2f} cut nodes from=nodes how={} for={:.2f}", at_s, cut_kind, for_s);
    }
  }

  RandomDraw draw_;
  bool has_two_zones_ = false;
  int parts_per_replica_ = 2;
  std::vector<std::pair<std::string, int>> uncancelled_jobs_;  // id and number of replicas
  std::vector<std::string> lines_;
};

}  // namespace

std::vector<std::string> random_replica_scenario(uint64_t seed, RepeatedRequests copies) {
  auto lines = ReplicaScenarioGenerator(seed).generate();
  if (copies == RepeatedRequests::drawn)
    for (auto& line : random_copies(seed)) lines.push_back(line);
  return lines;
}

}  // namespace damsonport::simulation
