// A machine fails every task that it starts, for some seconds. Afterwards a job waits although the
// machine, which is sound again and still runs a replica, has room for it.
#include "../common-2/fleet.h"

using namespace standin;

int main(int, char** argv) {
  Record::get().open(std::string(argv[1]) + "/record.txt");
  limit_time(117);
  World world;
  Times times;  // those of the Kelani deployment
  Store store(3, 12, 16);
  Cloud cloud(world, times, {{"cinnamon-16", 16, 0, 64, {"colombo-north"}, 1.5, 2}});
  Controllers::Settings s;
  s.teams = {{"thumbgrid"}};
  s.times = times;
  Controllers c(3, s, [&](int i) { return store.address(i); }, cloud.address(), temp_folder());
  controllers_to_end = &c;
  cloud.set_nodes(c.nodes());
  c.start_all();
  if (!c.wait_healthy(15)) finish(2, "the controllers did not become healthy");

  auto service = [&](const std::string& ref, double cores, const std::string& image) {
    Json j = job(ref, "service", 1, cores, 4, 0);
    j["rank"] = "production";
    j["cargo"] = image;
    if (!submit(world, c, j)) finish(2, ref + " was not accepted");
  };
  // Two replicas that don't fit on one machine: 8 and 6 of 16 CPUs are left.
  service("run-000001", 8, "img-01");
  service("run-000002", 10, "img-02");
  if (!wait_on_machine(world, "run-000001/0", true, 15) ||
      !wait_on_machine(world, "run-000002/0", true, 15))
    finish(2, "the replicas did not start");
  std::string id;
  {
    std::lock_guard l(world.m);
    for (auto& e : world.events)
      if (e.task == "run-000002/0" && e.what == "start") id = e.machine;
  }
  std::shared_ptr<Worker> machine;
  for (auto& w : cloud.workers())
    if (w->info().id == id) machine = w;
  if (!machine) finish(2, "no machine");
  sleep_s(3);

  const double begin = now();
  if (trouble()) {
    machine->sick = true;
    REC("%s fails every task that it starts from now on", id.c_str());
  }
  const std::vector<std::string> small{"run-000401", "run-000402", "run-000403"};
  for (size_t i = 0; i < small.size(); ++i) {
    service(small[i], 1, "img-1" + std::to_string(i));
    sleep_s(2);
  }
  sleep_s(4);
  machine->sick = false;
  REC("%s is sound; the trouble is over after %.1f s", id.c_str(), now() - begin);
  for (auto& ref : small)
    if (!wait_on_machine(world, ref + "/0", true, 10)) finish(2, ref + " does not run");
  sleep_s(1);

  double used = 0;  // on the machine
  {
    std::lock_guard l(world.m);
    std::map<std::string, std::string> where;
    for (auto& e : world.events) {
      if (e.what == "start") where[e.task] = e.machine;
      else if (e.what != "refused") where.erase(e.task);
    }
    for (auto& [task, on] : where)
      if (on == id) used += world.jobs[task.substr(0, task.find('/'))]["cores"].get<double>();
  }
  const double wanted = std::min(6.0, 16 - used);
  if (wanted < 3) finish(2, "the machine has no room left");
  REC("%.0f of 16 CPUs are in use on %s; the next job needs %.0f", used, id.c_str(), wanted);
  const uint64_t session = machine->epoch();
  service("run-000501", wanted, "img-02");
  const double accepted = now();
  double next = now();
  for (int i = 0; now() < accepted + 90; sleep_s(0.05)) {
    if (on_machine(world, "run-000501/0"))
      finish(0, "the job started after " + std::to_string(now() - accepted) + " s");
    if (now() < next) continue;
    next += 5;
    Reply a = poll_job(c, i++ % 3, "run-000501");
    REC("poll run-000501: %d %s", a.status, a.body.dump().c_str());
    for (auto& w : cloud.workers())
      REC("  %s: session %llu, %zu tasks, %llu reports answered", w->info().id.c_str(),
          static_cast<unsigned long long>(w->epoch()), w->present(),
          static_cast<unsigned long long>(w->reports_ok));
  }
  if (machine->gone() || machine->epoch() != session) finish(2, "the machine did not stay up");
  char why[200];
  snprintf(why, sizeof why, "the job waits for 90 s after the trouble, while the machine has %.0f of 16 CPUs free",
           16 - used);
  finish(1, why);
}
