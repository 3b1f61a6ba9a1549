// A zone with workers and a controller is cut off for 57 s. Tasks fail there meanwhile.
// Checked: ran_twice, as seen on the workers.
#include "../standin/fleet.h"
#include "../standin/processes.h"
#include "../standin/store.h"

using namespace standin;

namespace {

constexpr size_t first_controller = 0, inside = 2;  // the latter is in the zone that is cut off
constexpr int machines_outside = 7, machines_inside = 6, failing_tasks = 3;
constexpr double cut_s = 57;

Json job(const std::string& ref, int hands, double cores, double accelerators, const Json& dock) {
  return {{"ref", ref},           {"berth", "dzintars"},      {"owner", "auditlapa-00"},
          {"shape", "service"},   {"rank", "production"},  {"hands", hands},
          {"cores", cores},       {"accelerators", accelerators}, {"memory_gb", 12.0},
          {"cargo", "dzintars-01"},  {"size_gb", 65.5},       {"hulls", nullptr},
          {"dock", dock},         {"same_place", false},   {"spread", false},
          {"tender", false},      {"voyage_s", 0.0},       {"moor_s", 0.0},
          {"stow_s", 0.0},        {"due_s", nullptr}};
}

[[noreturn]] void play(const std::string& run, const std::string& folder, bool trouble) {
  Link whole, edge;  // `edge`: everything between the zone jelgava and the rest
  Deployment deployment;
  deployment.report_s = 5;
  const WorkerSettings worker_settings{deployment.report_s, deployment.lease_s};
  Observer observer;
  Store store({&whole, &whole, &edge});
  const Json hulls = {{{"name", "liepa-48"}, {"cores", 48}, {"accelerators", 8},
                       {"memory_gb", 192}, {"local_gb", 600}, {"pull_gb_per_s", 4.6},
                       {"hourly", 23.16}, {"spot_price", 6.19}, {"ready_s", 35},
                       {"docks", {"riga-centrs", "jelgava"}}}};
  Cloud cloud(hulls, deployment.list_lag_s, {&whole, &whole, &edge});

  std::vector<ControllerPlace> places(3);
  const auto ports = free_ports(6);
  for (size_t i = 0; i < 3; ++i) {
    places[i] = {"quay-" + std::to_string(i), i == inside ? "jelgava" : "riga-centrs",
                 ports[2 * i], ports[2 * i + 1], cloud.port(i), store.port(i), {}};
  }
  std::vector<std::unique_ptr<Proxy>> proxies;
  for (size_t i = 0; i < 3; ++i)
    for (size_t j = 0; j < 3; ++j) {
      const bool over_edge = (i == inside) != (j == inside);
      proxies.push_back(std::make_unique<Proxy>(places[j].mesh, over_edge ? &edge : &whole));
      places[i].peer_ports.push_back(proxies.back()->port);
    }
  Controllers controllers;
  for (auto& place : places) {
    controllers.names.push_back(place.name);
    controllers.ports.push_back(place.listen);
  }

  std::vector<std::unique_ptr<Worker>> outside_workers, inside_workers;
  const auto add = [&](auto& workers, const std::string& name, const std::string& zone) {
    const bool in = zone == "jelgava";
    Link* to_rest = in ? &edge : &whole;
    Link* to_inside = in ? &whole : &edge;
    workers.push_back(std::make_unique<Worker>(
        Worker::Machine{name, "liepa-48", zone, false, 48, 8, 192, in ? 3.7 : 4.6}, worker_settings, controllers,
        std::vector<Link*>{to_rest, to_rest, to_inside}, to_rest, observer));
    cloud.add(*workers.back());
  };
  for (int i = 0; i < machines_outside; ++i)
    add(outside_workers, "i-00010" + std::to_string(i), "riga-centrs");
  for (int i = 0; i < machines_inside; ++i)
    add(inside_workers, "i-00020" + std::to_string(i), "jelgava");

  Processes processes(run, folder, places, deployment);
  Users users(controllers, observer);
  const auto healthy = [&](size_t i) {
    return Client(controllers.ports[i]).call("GET", "/healthz", {}, 1).status == 200;
  };
  processes.start(first_controller);
  require("the first controller is healthy", 15, [&] { return healthy(first_controller); });
  for (auto& worker : outside_workers) worker->begin(first_controller);
  for (auto& worker : inside_workers) worker->begin(first_controller);
  sleep_s(1);

  // Fills the machines outside the zone: one replica stays, and one is cancelled later.
  const auto on = [](auto& workers, const std::string& ref, const std::string& status) {
    int count = 0;
    for (auto& worker : workers)
      for (int n = 0; n < 20; ++n)
        count += worker->has(ref + "/" + std::to_string(n), status);
    return count;
  };
  users.submit(job("run-000001", machines_outside, 26, 0, "riga-centrs"));
  users.submit(job("run-000002", machines_outside, 20, 0, "riga-centrs"));
  processes.start(1);
  processes.start(inside);
  require("all controllers are healthy", 15, [&] { return healthy(1) && healthy(inside); });
  require("the machines outside are full", 25, [&] {
    return on(outside_workers, "run-000001", "running") == machines_outside &&
           on(outside_workers, "run-000002", "running") == machines_outside;
  });

  // Three replicas start inside the zone. Their machines fail them when the image has come.
  std::vector<std::string> refs;
  for (int i = 0; i < failing_tasks; ++i) refs.push_back("run-00010" + std::to_string(i));
  for (auto& ref : refs) users.submit(job(ref, 1, 20, 8, nullptr));
  require("the replicas fetch their image inside the zone", 6, [&] {
    int count = 0;
    for (auto& ref : refs) count += on(inside_workers, ref, "fetching");
    return count == failing_tasks;
  });
  for (auto& worker : inside_workers)
    for (auto& ref : refs)
      if (worker->has(ref + "/0", "fetching")) worker->is_sick = true;
  sleep_s(0.1);

  record("DISRUPTION: %s", trouble ? "the zone jelgava is cut off" : "none");
  const double cut_at = now();
  if (trouble) edge.cut();
  const auto wait_until = [&](double seconds) { sleep_s(cut_at + seconds - now()); };
  wait_until(20);
  for (auto& worker : inside_workers) worker->is_sick = false;
  record("no machine is sick any more");
  users.cancel("run-000002");
  wait_until(cut_s);
  if (trouble) edge.heal();
  record("the zone is connected");
  wait_until(cut_s + 15);
  Processes::finish(observer.violations > 0 ? 1 : 0);
}

}  // namespace

int main(int, char** arguments) {
  record_file() = fopen(arguments[3], "w");
  const char* trouble = getenv("TROUBLE");
  play(arguments[1], arguments[2], !trouble || std::string(trouble) != "0");
}
