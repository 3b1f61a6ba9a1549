// A job is cancelled while the state service refuses one controller alone. That controller learns of
// it from its peers only. The service goes out, the other two controllers end, and a machine with a
// task of the job hangs: the controller that is left does not return it.
#include "../common-2/fleet.h"

using namespace standin;

int main(int, char** argv) {
  Record::get().open(std::string(argv[1]) + "/record.txt");
  limit_time(117);
  const bool t = trouble();
  // REFUSE=0: the third controller is not refused and reads the cancellation (for comparison).
  const bool refuse = t && !(getenv("REFUSE") && std::string(getenv("REFUSE")) == "0");
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
  const std::string ref = "run-000412", task = ref + "/0";
  Json j = job(ref, "service", 1, 11, 20, 0);
  j["berth"] = "monsoon-surge";
  j["rank"] = "high";
  if (!submit(world, c, j)) finish(2, "the job was not accepted");
  if (!wait_on_machine(world, task, true, 15)) finish(2, "the task did not start");
  sleep_s(6);

  const int leader = c.leader(store);
  if (leader < 0) finish(2, "no shard leader");
  const int confirming = (leader + 1) % 3, left = (leader + 2) % 3;
  REC("%s leads, %s confirms the cancellation, %s is left", c.name(leader).c_str(),
      c.name(confirming).c_str(), c.name(left).c_str());
  std::shared_ptr<Worker> machine;
  for (auto& w : cloud.workers())
    if (w->present() > 0) machine = w;
  if (!machine) finish(2, "no machine");

  if (refuse) {
    store.set_refused(left, true);
    REC("the state service refuses %s alone", c.name(left).c_str());
    sleep_s(2);
  }
  if (t) {
    machine->hang(60);
    REC("%s hangs for 60 s", machine->info().id.c_str());
  }
  Reply a = call(c.port(confirming), "POST", "/api/jobs/" + ref + "/cancel", Json(), 5);
  REC("cancel %s at %s: %d %s", ref.c_str(), c.name(confirming).c_str(), a.status, a.body.dump().c_str());
  if (a.status != 200 || status_of(a) != "aborted") finish(2, "the cancellation was not confirmed");
  const double told = now();
  sleep_s(1);
  if (t) {
    store.set_down(true);
    REC("the state service is out");
    sleep_s(4);
    c.kill(leader);
    c.kill(confirming);
    sleep_s(6);  // "back about 6 s after an end"
    c.start(leader);
    c.start(confirming);
  }
  while (now() < told + times.cancel_s) {
    sleep_s(0.1);
    if (!t && !on_machine(world, task)) finish(0, "the task is gone");
  }
  sleep_s(0.3);  // the answer may have left the controller a moment before it was read here
  const bool on = on_machine(world, task);
  REC("%.1f s after the answer the task is %s", now() - told, on ? "on its machine" : "gone");
  if (!on) finish(0, "the task was gone within cancel_s");
  // What the machine does afterwards, for the record.
  if (t) wait_on_machine(world, task, false, 25);
  finish(1, "more than cancel_s after its user was told that the job is cancelled its task is on " +
                machine->info().id);
}
