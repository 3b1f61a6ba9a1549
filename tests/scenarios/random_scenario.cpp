#include "scenarios/random_scenario.hpp"

#include <fmt/format.h>

#include "scenarios/draw.hpp"

namespace damsonport::simulation {

std::vector<std::string> random_scenario(uint64_t seed) {
  Draw draw(seed);
  std::vector<std::string> out;
  auto line = [&](std::string_view f, const auto&... args) {
    out.push_back(fmt::format(fmt::runtime(f), args...));
  };
  const bool zones = draw.chance(0.4);
  const bool rare = draw.chance(0.4);  // seldom reports, long leases
  line("controllers {} zones={}", draw.chance(0.5) ? 3 : 5, zones ? "a,b" : "a");
  line("workers report={} lease={} cancel={}", rare ? 4 : 1.5, rare ? 32 : 12, rare ? 62 : 42);
  line("team t gpus_max={}", draw.chance(0.5) ? 64 : 14);
  line("team u cpus_max={}", draw.chance(0.5) ? 200 : 40);
  line("type g cpus=64 gpus=8 memory=512 zones={} fetch=4", zones ? "a,b" : "a");
  line("machines 3 type=g zone=a");
  if (zones) line("machines 2 type=g zone=b");
  if (draw.chance(0.5)) line("machines 1 type=g zone=a spot");
  line("cloud capacity={} boot={}", 8 + draw.upto(5), draw.of("1", "6", "15"));
  if (draw.chance(0.3)) line("close_looks");
  const auto place = [&] {
    return zones ? draw.of("", "one_zone", "spread", "zone=a", "zone=b") : std::string();
  };
  // Named so that a word of a trace can mean several.
  line("jobs run-1..run-4 tasks=3 gpus=1 run=40 checkpoint=10 save=2 {}", draw.of("", "spot"));
  line("jobs run-5..run-7 team=u tasks={} cpus=3 run=25 gb={}", 1 + draw.upto(4),
       draw.of("1", "20"));
  line("jobs run-8..run-9 tasks=2 gpus=1 run=60 idle {}", place());
  line("jobs run-10..run-12 service high tasks={} cpus=2 team=u {}", 1 + draw.upto(3), place());
  line("jobs run-13..run-14 service production tasks=1 gpus=2 gb=8 image=big {}", place());
  line("jobs run-15..run-34 tasks=1 cpus=1 run=6");
  // Gangs, and limits that are lowered at some time, beside whatever else is drawn.
  line("announced kb=2 ops=4 writes=35");
  line("jobs run-35..run-37 gang tasks={} cpus=2 run=25 checkpoint=10 save=2 team=u {}",
       2 + draw.upto(4), place());
  line("jobs run-38 gang high tasks=3 gpus=1 run=30 checkpoint=10 save=3 {}", place());
  line("at {:.2f} submit run-35..run-38 every={}", draw.between(8, 30), draw.of("0.1", "6"));
  if (draw.chance(0.5)) line("at {:.2f} cancel run-{}", draw.between(12, 60), 35 + draw.upto(4));
  line("at {:.2f} lower_limits", draw.between(8, 60));
  line("at 6 submit run-1..run-14 every={}", draw.of("0.05", "0.7", "2"));
  line("at {} submit run-15..run-34 every=0.4", draw.between(8, 40));
  const double last = 110;
  for (int i = 0, n = 4 + draw.upto(8); i < n; ++i) {
    const int job = 1 + draw.upto(34);
    line("at {:.2f} cancel run-{} via={}", draw.between(8, last), job,
         draw.of("others", "nodes", "leader"));
  }
  for (int i = 0, n = 3 + draw.upto(7); i < n; ++i) {
    const double at = draw.between(10, last - 20);
    const double for_s = draw.chance(0.6) ? draw.between(0.5, 12) : draw.between(12, 60);
    const auto some = draw.of("m1", "m2,m3", "machines", "with:run-1", "with:run-10", "m4");
    const auto who = draw.of("leader", "others", "n0", "n1", "nodes", "leader");
    const auto how = draw.of("hold", "drop");
    switch (draw.upto(17)) {
      case 0:
      case 1:
        // If all that know of a cancellation end in an outage, nobody can know of it: no service
        // can keep the rule then, and none is asked to.
        line("at {:.2f} crash {} for={:.2f}", at, who == "nodes" ? "n2" : who,
             draw.of("0.3", "3", "9") == "0.3" ? 0.3 : 5.0);
        break;
      case 2:
        line("at {:.2f} refuse leader for={:.2f}", at, for_s);
        line("at {:.2f} outage for={:.2f}", at + draw.between(0.5, 3), for_s);
        line("at {:.2f} cancel run-{},run-{} via=others", at + draw.between(0, 1.5),
             1 + draw.upto(10), 10 + draw.upto(5));
        break;
      case 3:
        line("at {:.2f} refuse {} for={:.2f}", at, who, for_s);
        break;
      case 4:
        line("at {:.2f} outage for={:.2f}", at, for_s);
        break;
      case 5:
        line("at {:.2f} fate {} {} for={:.2f}", at, draw.of("late", "lost"),
             draw.of("", "of=leader", "of=n1"), std::min(for_s, 8.0));
        break;
      case 6:
        line("at {:.2f} slow by={} for={:.2f}", at, draw.of("0.05", "0.4"), std::min(for_s, 20.0));
        break;
      case 7:
        line("at {:.2f} cut {} from=nodes how={} {} for={:.2f}", at, some, how,
             draw.of("", "one_way"), for_s);
        break;
      case 8:
        line("at {:.2f} cut nodes from={} how={} one_way for={:.2f}", at, some, how, for_s);
        break;
      case 9:
        line("at {:.2f} cut leader from=nodes,state how={} for={:.2f}", at, how, for_s);
        break;
      case 10:
        line("at {:.2f} cut nodes from=nodes how={} for={:.2f}", at, how, for_s);
        break;
      case 11:
        line("at {:.2f} hang {} for={:.2f}", at, some, for_s);
        break;
      case 12:
        line("at {:.2f} {} {} for={:.2f}", at, draw.of("deaf", "mute"), some, for_s);
        break;
      case 13:
        line("at {:.2f} die {}", at, draw.of("m1", "m2", "m3"));
        break;
      case 14: {
        line("at {:.2f} keep machines", at);
        for (int k = 0; k < 3; ++k)
          line("at {:.2f} late_report machines to=nodes", at + draw.between(0.5, 30));
        line("at {:.2f} crash leader for=3", at + draw.between(0, 10));
        break;
      }
      case 15:
        if (zones)
          line("at {:.2f} cut zone:a from=zone:b how={} for={:.2f}", at, how, for_s);
        else
          line("at {:.2f} cut leader from=machines how={} for={:.2f}", at, how, for_s);
        break;
      case 16:
        line("at {:.2f} repeat run-{},run-{} via=nodes", at, 1 + draw.upto(9), 10 + draw.upto(9));
        line("at {:.2f} ask run-1..run-14 every=1 for=5", at);
        break;
    }
  }
  // Every other one has the gap in it, with what makes it worse.
  if (seed % 2 == 0) {
    const double at = draw.between(14, 40), out = at + draw.between(0.5, 3);
    line("at {:.2f} refuse leader for={:.2f}", at, draw.between(2, 20));
    for (int i = 0, n = 2 + draw.upto(4); i < n; ++i)
      line("at {:.2f} cancel run-{} via=others", draw.between(at, out + 0.5), 1 + draw.upto(14));
    line("at {:.2f} outage for={:.2f}", out, draw.between(5, 90));
    if (draw.chance(0.5))
      line("at {:.2f} hang {} for={:.2f}", draw.between(at - 1, out), draw.of("m1", "m2,m3", "m4"),
           draw.between(10, 100));
    for (int i = 0, n = draw.upto(3); i < n; ++i)
      line("at {:.2f} crash {} for={:.2f}", draw.between(at, out + 40), draw.of("n0", "n1", "n2"),
           draw.between(0.3, 8));
    if (draw.chance(0.25))
      line("at {:.2f} cut nodes from=nodes how={} for={:.2f}", draw.between(at - 2, out + 10),
           draw.of("hold", "drop"), draw.between(5, 80));
    if (draw.chance(0.25))
      line("at {:.2f} deaf {} for={:.2f}", draw.between(at - 2, out), draw.of("m1", "m2,m3"),
           draw.between(5, 60));
  }
  // Drawn by themselves, so that what is drawn above stays as it was: processes that stand still,
  // jobs submitted with a mistake, machines that come late or never, a guest's swarm.
  Draw nights(~seed);
  line("jobs run-39..run-40 tasks={} gpus=1 run=20 broken {}", 1 + nights.upto(5),
       nights.of("", "spot"));
  line("at {:.2f} submit run-39..run-40 every=3", nights.between(8, 40));
  line("at {:.2f} cancel run-39..run-40", nights.between(60, 130));
  line("jobs run-41..run-70 tasks=1 cpus=0.25 run=15 idle spot team=u");
  line("at {:.2f} submit run-41..run-70 every=0.08", nights.between(8, 90));
  for (int i = 0, n = nights.upto(3); i < n; ++i)
    line("at {:.2f} stall {} for={:.2f}", nights.between(10, 110),
         nights.of("leader", "leader", "n0", "n1", "others"),
         nights.chance(0.5) ? nights.between(0.5, 10) : nights.between(10, 70));
  line("at {:.2f} boots {} in={:.2f} for={:.2f}", nights.between(4, 60),
       nights.of("late", "late", "never"), nights.chance(0.5) ? 1 : nights.between(20, 60),
       nights.between(5, 30));
  line("until 330");
  line("expect served");
  return out;
}

}  // namespace damsonport::simulation
