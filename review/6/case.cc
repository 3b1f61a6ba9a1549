// An array of many small tasks is placed on one machine. The worker's report then exceeds the limit
// for request bodies, is refused by every controller, and the machine's tasks die with its lease.
#include "fleet.h"

using namespace standin;

int main(int, char** argv) {
  Record::get().open(std::string(argv[1]) + "/record.txt");
  limit_time(117);
  const int hands = trouble() ? 1600 : 400;
  World world;
  world.quiet = true;  // 1,600 tasks; the record has their counts
  Times times;         // those of the Kelani deployment
  Store store(3, 12, 16);
  Cloud cloud(world, times, {{"sapphire-64", 64, 8, 512, {"colombo-north"}, 1.5, 2}});
  Controllers::Settings s;
  s.teams = {{"thumbgrid"}, {"reelworks"}};
  s.times = times;
  Controllers c(3, s, [&](int i) { return store.address(i); }, cloud.address(), temp_folder());
  controllers_to_end = &c;
  cloud.set_nodes(c.nodes());
  c.start_all();
  if (!c.wait_healthy(15)) finish(2, "the controllers did not become healthy");

  Json replicas = job("run-000001", "service", 2, 2, 4.2, 0);
  replicas["rank"] = "production";
  if (!submit(world, c, replicas)) finish(2, "the replicas were not accepted");
  if (!wait_on_machine(world, "run-000001/0", true, 15) ||
      !wait_on_machine(world, "run-000001/1", true, 15))
    finish(2, "the replicas did not start");
  sleep_s(1);

  Json array = job("run-000412", "batch", hands, 0.03, 0.25, 15, "reelworks");
  array["berth"] = "elephant-array";
  array["rank"] = "idle";
  array["cargo"] = "img-09";
  if (!submit(world, c, array)) finish(2, "the array was not accepted");
  const double accepted = now();
  REC("run-000412 with %d tasks is accepted", hands);

  double next = now();
  bool done = false;
  int killed = 0, replicas_killed = 0;
  for (int i = 0; now() < accepted + 90 && !done; sleep_s(0.1)) {
    if (now() < next) continue;
    next += 3;
    Reply a = poll_job(c, i++ % 3, "run-000412");
    done = status_of(a) == "done";
    int started = 0, completed = 0;
    killed = replicas_killed = 0;
    {
      std::lock_guard l(world.m);
      for (auto& e : world.events) {
        const bool replica = e.task.starts_with("run-000001/");
        if (e.what == "killed") ++(replica ? replicas_killed : killed);
        if (!replica && e.what == "start") ++started;
        if (!replica && e.what == "exit" && e.cause == "done") ++completed;
      }
    }
    REC("poll run-000412: %d %s; tasks started %d, completed %d, killed with a lease %d; replicas of "
        "run-000001 killed with a lease %d",
        a.status, a.body.dump().c_str(), started, completed, killed, replicas_killed);
    for (auto& w : cloud.workers())
      REC("  %s: session %llu, %zu tasks, last report %zu bytes as JSON, answered with %d",
          w->info().id.c_str(), static_cast<unsigned long long>(w->epoch()), w->present(),
          w->last_report_json.load(), w->last_status.load());
  }
  if (done && killed + replicas_killed == 0) finish(0, "the array is done, no task was killed");
  if (killed + replicas_killed == 0) finish(2, "the array is not done, but no task was killed either");
  finish(1, "after 90 s the array is " + std::string(done ? "done" : "not done") + ": its tasks of 15 s were killed " +
                std::to_string(killed) + " times, the other team's replicas " +
                std::to_string(replicas_killed) + " times");
}
