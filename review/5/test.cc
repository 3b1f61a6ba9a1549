// Direct commands to a machine are held up for some seconds. Afterwards a job waits although the
// machine, which reports all the time, has room for it.
#include "../common-2/fleet.h"

using namespace standin;

int main(int, char** argv) {
  Record::get().open(std::string(argv[1]) + "/record.txt");
  limit_time(117);
  World world;
  Times times;  // those of the Kelani deployment
  Store store(3, 12, 16);
  Cloud cloud(world, times, {{"cinnamon-16", 16, 0, 64, {"colombo-north"}, 1.5, 1}});
  Controllers::Settings s;
  s.teams = {{"thumbgrid"}};
  s.times = times;
  Controllers c(3, s, [&](int i) { return store.address(i); }, cloud.address(), temp_folder());
  controllers_to_end = &c;
  cloud.set_nodes(c.nodes());

  // "held up on its way, unanswered, and carried out once, 2 to 16 s late, if token and session
  // still match".
  std::atomic<bool> held{false};
  std::atomic<int> count{0}, under_way{0};
  cloud.on_up = [&](Worker& w) {
    w.on_direct = [&, worker = &w](const Json& body) {
      if (!held) return true;
      ++count;
      ++under_way;
      REC("command to %s held up: %s", worker->info().id.c_str(), body["orders"].dump().c_str());
      std::thread([&, worker, body] {
        sleep_s(3);
        Request r;
        r.method = "POST";
        r.path = "/commands";
        Reply a = worker->execute_direct(r, body);
        REC("the held command is carried out at %s: %d", worker->info().id.c_str(), a.status);
        --under_way;
      }).detach();
      return false;
    };
  };
  c.start_all();
  if (!c.wait_healthy(15)) finish(2, "the controllers did not become healthy");

  auto service = [&](const std::string& ref) {
    Json j = job(ref, "service", 1, 2, 4.2, 0);
    j["rank"] = "production";
    if (!submit(world, c, j)) finish(2, ref + " was not accepted");
  };
  service("run-000001");
  if (!wait_on_machine(world, "run-000001/0", true, 15)) finish(2, "the first replica did not start");
  sleep_s(2);

  held = trouble();
  REC("%s", held ? "direct commands are held up from now on" : "no trouble");
  const double begin = now();
  service("run-000002");
  sleep_s(2.5);
  service("run-000003");
  sleep_s(2.5);
  held = false;
  REC("trouble ends after %.1f s; %d commands were held up", now() - begin, count.load());
  if (!wait_on_machine(world, "run-000002/0", true, 15) ||
      !wait_on_machine(world, "run-000003/0", true, 15))
    finish(2, "the replicas that were submitted meanwhile did not start");
  while (under_way > 0) sleep_s(0.05);
  sleep_s(1);

  auto worker = cloud.workers().front();
  const uint64_t session = worker->epoch();
  REC("the trouble is over; 3 of 16 places of 2 CPUs are in use on %s", worker->info().id.c_str());
  service("run-000004");
  const double accepted = now();
  double next = now();
  for (int i = 0; now() < accepted + 90; sleep_s(0.05)) {
    if (on_machine(world, "run-000004/0"))
      finish(0, "the job started after " + std::to_string(now() - accepted) + " s");
    if (now() < next) continue;
    next += 5;
    Reply a = poll_job(c, i++ % 3, "run-000004");
    REC("poll run-000004: %d %s; reports of %s answered so far: %llu, session %llu", a.status,
        a.body.dump().c_str(), worker->info().id.c_str(),
        static_cast<unsigned long long>(worker->reports_ok), static_cast<unsigned long long>(worker->epoch()));
  }
  if (worker->epoch() != session || worker->gone()) finish(2, "the machine did not stay up");
  finish(1, "the job waits for 90 s after the trouble, while the machine has 10 of 16 CPUs free");
}
