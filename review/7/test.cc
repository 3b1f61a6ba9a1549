// A machine runs its tasks slower for some seconds. Afterwards a job waits although the machine, which
// is as fast as the other one again, has room for it.
#include "../common-2/fleet.h"

using namespace standin;

int main(int, char** argv) {
  Record::get().open(std::string(argv[1]) + "/record.txt");
  limit_time(118);
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

  // A replica of 9 CPUs on each of the two machines leaves 7 of 16 CPUs on each.
  Json replicas = job("run-000001", "service", 2, 9, 20, 0);
  replicas["rank"] = "production";
  if (!submit(world, c, replicas)) finish(2, "the replicas were not accepted");
  if (!wait_on_machine(world, "run-000001/0", true, 15) ||
      !wait_on_machine(world, "run-000001/1", true, 15))
    finish(2, "the replicas did not start");
  auto workers = cloud.workers();
  if (workers.size() != 2 || workers[0]->present() != 1 || workers[1]->present() != 1)
    finish(2, "the replicas are not on two machines");
  auto slow = workers[1];
  sleep_s(1);

  if (trouble()) {
    slow->slow = 3;
    REC("%s runs its tasks 3 times slower from now on", slow->info().id.c_str());
  }
  world.quiet = true;
  const double begin = now();
  Json array = job("run-000412", "batch", 100, 0.5, 1, 1);
  array["cargo"] = "img-08";
  if (!submit(world, c, array)) finish(2, "the array was not accepted");
  while (status_of(poll_job(c, 1, "run-000412")) != "done") {
    if (now() > begin + 30) finish(2, "the array was not done");
    sleep_s(0.2);
  }
  slow->slow = 1;
  world.quiet = false;
  REC("the array of 100 tasks is done; the trouble is over after %.1f s", now() - begin);
  sleep_s(1.5);

  // One of these two replicas fits on each machine.
  for (const std::string ref : {"run-000501", "run-000502"}) {
    Json j = job(ref, "service", 1, 5, 8, 0);
    j["rank"] = "production";
    if (!submit(world, c, j)) finish(2, ref + " was not accepted");
  }
  const double accepted = now();
  double next = now();
  for (int i = 0; now() < accepted + 90; sleep_s(0.05)) {
    const bool first = on_machine(world, "run-000501/0"), second = on_machine(world, "run-000502/0");
    if (first && second)
      finish(0, "both jobs started within " + std::to_string(now() - accepted) + " s");
    if (now() < next) continue;
    next += 5;
    for (const std::string ref : {"run-000501", "run-000502"}) {
      Reply a = poll_job(c, i++ % 3, ref);
      REC("poll %s: %d %s", ref.c_str(), a.status, a.body.dump().c_str());
    }
    for (auto& w : workers)
      REC("  %s: session %llu, %zu tasks, %llu reports answered", w->info().id.c_str(),
          static_cast<unsigned long long>(w->epoch()), w->present(),
          static_cast<unsigned long long>(w->reports_ok));
  }
  if (slow->gone() || slow->present() != 1) finish(2, "the machine did not stay as it was");
  finish(1, "a job waits for 90 s after the trouble, while the machine has 7 of 16 CPUs free");
}
