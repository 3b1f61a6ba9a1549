#include "scenarios/random_replica_scenario.hpp"

#include <fmt/format.h>

#include "scenarios/draw.hpp"

namespace damsonport::simulation {

namespace {

class Drawing {
 public:
  explicit Drawing(uint64_t seed) : draw_(seed) {}

  std::vector<std::string> all() {
    deployment();
    work();
    const int faults = 4 + draw_.upto(7);
    for (int i = 0; i < faults; ++i) fault();
    line("until 330");
    line("expect served");
    for (auto& job : kept_) line("expect replicas_ready {} count={}", job.first, job.second);
    return out_;
  }

 private:
  void line(std::string_view format, const auto&... args) {
    out_.push_back(fmt::format(fmt::runtime(format), args...));
  }

  void deployment() {
    zones_ = draw_.chance(0.5);
    const bool rare = draw_.chance(0.3);  // seldom reports, long leases
    parts_ = 2 + draw_.upto(2);
    line("controllers {} zones={}", draw_.chance(0.5) ? 3 : 5, zones_ ? "a,b" : "a");
    line("workers report={} lease={} cancel={}", rare ? 4 : 1.5, rare ? 32 : 12, rare ? 62 : 42);
    line("replicas (class model (parts {}) (distinct-machines {}) (repairs {}) (moves {}))", parts_,
         draw_.of("yes", "no"), 1 + draw_.upto(4), draw_.upto(3));
    line("team t gpus_max={}", draw_.chance(0.5) ? 200 : 60);
    line("type g cpus=64 gpus=8 memory=512 zones={} fetch={}", zones_ ? "a,b" : "a",
         draw_.of("2", "10"));
    line("machines {} type=g zone=a", zones_ ? 4 : 8);
    if (zones_) line("machines 5 type=g zone=b");
    line("cloud capacity=18 boot={}", draw_.of("1", "6", "15"));
    // Records of a replica that lie in two chunks, and transactions of few writes.
    if (draw_.chance(0.3)) line("state kb=1 ops=3");
  }

  void work() {
    const auto place = zones_ ? draw_.of("", "spread", "one_zone", "") : std::string();
    for (int job = 1; job <= 3; ++job) {
      const int replicas = 1 + draw_.upto(3);
      line("jobs run-{} class=model service production tasks={} gpus=2 cpus=8 gb={} {}", job,
           replicas * parts_, draw_.of("2", "20"), place);
      const bool cancelled = draw_.chance(0.2);
      if (cancelled) line("at {:.2f} cancel run-{}", draw_.between(8, 110), job);
      if (!cancelled) kept_.emplace_back(fmt::format("run-{}", job), replicas);
    }
    line("jobs run-4..run-9 tasks=3 gpus=1 run=30 checkpoint=10 save=2 idle");
    line("at 6 submit run-1..run-9 every={}", draw_.of("0.05", "1", "4"));
  }

  void fault() {
    const double at = draw_.between(6, 100);
    const double for_s = draw_.chance(0.6) ? draw_.between(0.5, 12) : draw_.between(12, 50);
    const auto some = draw_.of("m1", "m2,m3", "with:run-1/0", "with:run-2", "with:run-1/1,m4");
    const auto who = draw_.of("leader", "leader", "others", "n0", "n1");
    const auto how = draw_.of("hold", "drop");
    switch (draw_.upto(14)) {
      case 0:
        return line("at {:.2f} crash {} for={:.2f}", at, who, draw_.between(0.3, 6));
      case 1:
        return line("at {:.2f} die {}", at, some);
      case 2:
        line("at {:.2f} die with:run-1/0", at);
        return line("at {:.2f} crash leader for=5", at + draw_.between(0, 12));
      case 3:
        return line("at {:.2f} cut {} from=nodes how={} {} for={:.2f}", at, some, how,
                    draw_.of("", "one_way"), for_s);
      case 4:
        return line("at {:.2f} cut leader from=state how={} for={:.2f}", at, how, for_s);
      case 5:
        return line("at {:.2f} refuse leader for={:.2f}", at, for_s);
      case 6:
        line("at {:.2f} die with:run-2/0", at - draw_.between(0, 6));
        return line("at {:.2f} outage for={:.2f}", at, for_s);
      case 7:
        return line("at {:.2f} fate {} for={:.2f}", at, draw_.of("lost", "late"),
                    std::min(for_s, 8.0));
      case 8:
        return line("at {:.2f} stall {} for={:.2f}", at, who, for_s);
      case 9:
        return line("at {:.2f} {} {} for={:.2f}", at, draw_.of("hang", "deaf", "mute"), some,
                    for_s);
      case 10:
        line("at {:.2f} keep machines", at);
        for (int i = 0; i < 3; ++i)
          line("at {:.2f} late_report machines to=nodes", at + draw_.between(0.5, 30));
        return line("at {:.2f} crash leader for=3", at + draw_.between(0, 10));
      case 11:
        line("at {:.2f} crash_on_write run-{} times={} after={:.4f} for=5", at, 1 + draw_.upto(3),
             1 + draw_.upto(3), draw_.between(0, 0.01));
        return line("at {:.2f} die {}", at, some);
      case 12:
        return line("at {:.2f} sick {} for={:.2f}", at, some, for_s);
      default:
        return line("at {:.2f} cut nodes from=nodes how={} for={:.2f}", at, how, for_s);
    }
  }

  Draw draw_;
  bool zones_ = false;
  int parts_ = 2;
  std::vector<std::pair<std::string, int>> kept_;  // jobs that nobody cancels, and their replicas
  std::vector<std::string> out_;
};

}  // namespace

std::vector<std::string> random_replica_scenario(uint64_t seed) { return Drawing(seed).all(); }

}  // namespace damsonport::simulation
