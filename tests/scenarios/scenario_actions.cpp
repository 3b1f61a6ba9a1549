#include "scenarios/scenario_actions.hpp"

#include <algorithm>
#include <map>

namespace damsonport::simulation {

namespace {
constexpr double unlimited_duration_s = 1e6;  // for a fault without `for`
constexpr double default_crash_s = 6;
constexpr double normal_store_delay_s = 0.004;
constexpr double quick_return_s = 1;      // copies of old requests follow a return within this time
constexpr double after_return_s = 0.005;  // from the return to these copies

double duration_of(const ScenarioEvent& event) {
  return event.options.number("for", unlimited_duration_s);
}
}  // namespace

ScenarioActions::Handler ScenarioActions::handler_of(const std::string& verb) {
  static const std::map<std::string, Handler> handlers = {
      {"ask", &ScenarioActions::poll},
      {"boots", &ScenarioActions::change_boot_time},
      {"cancel", &ScenarioActions::cancel},
      {"cloud_outage", &ScenarioActions::cloud_outage},
      {"crash", &ScenarioActions::crash},
      {"crash_on_write", &ScenarioActions::crash_on_write},
      {"cut", &ScenarioActions::cut},
      {"copies", &ScenarioActions::repeat_requests},
      {"deaf", &ScenarioActions::drop_incoming_messages},
      {"die", &ScenarioActions::terminate_machines},
      {"fate", &ScenarioActions::set_transaction_fault},
      {"hang", &ScenarioActions::hang},
      {"keep", &ScenarioActions::keep_heartbeat},
      {"late_commands", &ScenarioActions::delay_commands},
      {"late_report", &ScenarioActions::redeliver_kept_heartbeat},
      {"lower_limits", &ScenarioActions::lower_limits},
      {"lose_requests", &ScenarioActions::drop_requests},
      {"malformed", &ScenarioActions::send_malformed_requests},
      {"mute", &ScenarioActions::drop_heartbeats},
      {"odd", &ScenarioActions::send_invalid_requests},
      {"old_version", &ScenarioActions::write_old_version},
      {"outage", &ScenarioActions::store_outage},
      {"refuse", &ScenarioActions::refuse},
      {"repeat", &ScenarioActions::resubmit},
      {"sick", &ScenarioActions::fail_tasks},
      {"slow", &ScenarioActions::slow_store},
      {"stall", &ScenarioActions::stall},
      {"submit", &ScenarioActions::submit},
  };
  auto it = handlers.find(verb);
  return it == handlers.end() ? nullptr : it->second;
}

bool ScenarioActions::apply(const ScenarioEvent& event) {
  const Handler handler = handler_of(event.verb);
  if (!handler) return false;
  (this->*handler)(event);
  return true;
}

void ScenarioActions::for_each_job_at_interval(
    const ScenarioEvent& event, const std::function<void(const std::string& job)>& request) {
  double delay_s = 0;
  for (auto& job : expand_names(event.target)) {
    world_.in(delay_s, [request, job] { request(job); });
    delay_s += event.options.number("every");
  }
}

// submit JOBS [every=S] [via=CONTROLLERS]
void ScenarioActions::submit(const ScenarioEvent& event) {
  for_each_job_at_interval(event, [this, via = event.options.text("via")](const std::string& job) {
    users_.submit(job, users_.pick_controller(via), world_.now(), ScenarioUsers::Retry::yes);
  });
}

// repeat JOBS [via=CONTROLLERS]: submits the jobs again, regardless of the first submission
void ScenarioActions::resubmit(const ScenarioEvent& event) {
  for (auto& job : expand_names(event.target))
    for (auto* controller : deployment_.select_controllers(event.options.text("via", "all")))
      users_.submit(job, deployment_.index_of(*controller), world_.now(), ScenarioUsers::Retry::no);
}

// cancel JOBS [every=S] [via=CONTROLLERS]
void ScenarioActions::cancel(const ScenarioEvent& event) {
  for_each_job_at_interval(event, [this, via = event.options.text("via")](const std::string& job) {
    deployment_.fleet().rules().on_cancel_request(job);
    users_.cancel(job, users_.pick_controller(via), world_.now());
  });
}

// ask JOBS [via=CONTROLLERS] [every=S] [for=S]: polls the status of the jobs
void ScenarioActions::poll(const ScenarioEvent& event) {
  const auto via = event.options.text("via", "all");
  const double duration_s = event.options.number("for");
  const double interval_s = event.options.number("every", 1);
  for (double delay_s = 0; delay_s <= duration_s; delay_s += interval_s)
    for (auto& job : expand_names(event.target))
      world_.in(delay_s, [this, job, via] {
        for (auto* controller : deployment_.select_controllers(via))
          users_.poll(job, deployment_.index_of(*controller));
      });
}

// Calls `request` at the interval `every`, during `for`.
void ScenarioActions::repeat_at_interval(const ScenarioEvent& event,
                                         const std::function<void()>& request) {
  const double duration_s = duration_of(event);
  const double interval_s = event.options.number("every", 1);
  for (double delay_s = 0; delay_s <= duration_s; delay_s += interval_s)
    world_.in(delay_s, request);
}

// odd [every=S] for=S: sends requests without a field, and jobs that can never run
void ScenarioActions::send_invalid_requests(const ScenarioEvent& event) {
  repeat_at_interval(event, [this] { users_.send_invalid_request(); });
}

// malformed [every=S] for=S: sends malformed bodies
void ScenarioActions::send_malformed_requests(const ScenarioEvent& event) {
  repeat_at_interval(event, [this] { users_.send_malformed_request(); });
}

// refuse CONTROLLERS [for=S]: the key-value store refuses the requests of these controllers
void ScenarioActions::refuse(const ScenarioEvent& event) {
  for (auto* controller : deployment_.select_controllers(event.target)) {
    deployment_.store().set_refused(controller->host(), true);
    world_.in(duration_of(event),
              [this, host = controller->host()] { deployment_.store().set_refused(host, false); });
  }
}

// outage [for=S]: the key-value store is unavailable
void ScenarioActions::store_outage(const ScenarioEvent& event) {
  deployment_.store().set_down(true);
  world_.in(duration_of(event), [this] { deployment_.store().set_down(false); });
}

// fate late|lost [of=CONTROLLER] [for=S]: transactions are applied late, or their responses are
// lost
void ScenarioActions::set_transaction_fault(const ScenarioEvent& event) {
  const auto of = deployment_.select_controllers(event.options.text("of"));
  deployment_.store().set_transaction_fault(event.target == "late"
                                                ? KeyValueStore::TransactionFault::applied_late
                                                : KeyValueStore::TransactionFault::response_lost,
                                            of.empty() ? std::string() : of.front()->host());
  world_.in(duration_of(event), [this] {
    deployment_.store().set_transaction_fault(KeyValueStore::TransactionFault::none, {});
  });
}

// lower_limits: the announced limits of the key-value store come into force
void ScenarioActions::lower_limits(const ScenarioEvent&) {
  deployment_.store().set_limits(plan_.announced_store_limits);
}

// slow by=S [for=S]: the key-value store responds after a longer delay
void ScenarioActions::slow_store(const ScenarioEvent& event) {
  deployment_.store().set_delay(event.options.number("by"));
  world_.in(duration_of(event), [this] { deployment_.store().set_delay(normal_store_delay_s); });
}

// crash CONTROLLERS [for=S]
void ScenarioActions::crash(const ScenarioEvent& event) {
  const double downtime_s = event.options.number("for", default_crash_s);
  for (auto* controller : deployment_.select_controllers(event.target))
    controller->crash(downtime_s);
  release_copies_on_return(downtime_s);
}

// copies HOSTS [share=P] after=S [before=S] [for=S], or copies HOSTS [share=P] on_return [for=S]:
// requests to the hosts that were carried out and answered arrive there once more
void ScenarioActions::repeat_requests(const ScenarioEvent& event) {
  RepeatRule rule;
  rule.applies_to = [this, receivers = event.target](const std::string& host) {
    const auto hosts = deployment_.select_hosts(receivers);
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
  };
  rule.share = event.options.number("share", 1);
  if (!event.options.contains("on_return")) {
    const double min_s = event.options.number("after");
    rule.delay = RepeatRule::Delay{min_s, event.options.number("before", min_s)};
  }
  rule.until = world_.now() + duration_of(event);
  repeater_.add(std::move(rule));
}

void ScenarioActions::release_copies_on_return(double downtime_s) {
  if (downtime_s < quick_return_s)
    world_.in(downtime_s + after_return_s, [this] { repeater_.release_kept(); });
}

// crash_on_write JOB [times=N] [after=S] [for=S]: the next writes to the job's records crash the
// leader
void ScenarioActions::crash_on_write(const ScenarioEvent& event) {
  deployment_.crash_leader_on_write(
      {keys::chunk_prefix + event.target + "/", event.options.integer("times", 1),
       event.options.number("after"), event.options.number("for", default_crash_s)});
}

// old_version CONTROLLERS [for=S]: the version records of these controllers name an older version
void ScenarioActions::write_old_version(const ScenarioEvent& event) {
  for (auto* controller : deployment_.select_controllers(event.target)) {
    const auto key = keys::version(controller->name());
    deployment_.store().write(key, {{"v", VersionRegistry::replicas - 1}});
    world_.in(duration_of(event), [this, key] {
      deployment_.store().write(key, {{"v", VersionRegistry::current}});
    });
  }
}

// stall CONTROLLERS [for=S]: pauses the processes while their clocks run on
void ScenarioActions::stall(const ScenarioEvent& event) {
  for (auto* controller : deployment_.select_controllers(event.target))
    controller->stall(duration_of(event));
}

// cut HOSTS from=HOSTS [how=hold|drop] [one_way] [for=S]: starts a partition
void ScenarioActions::cut(const ScenarioEvent& event) {
  const auto how =
      event.options.text("how", "hold") == "hold" ? World::Cut::hold : World::Cut::drop;
  struct Direction {
    std::string from, to;
  };
  std::vector<Direction> directions;
  const auto others = deployment_.select_hosts(event.options.text("from"));
  for (auto& host : deployment_.select_hosts(event.target))
    for (auto& other : others) {
      if (host == other) continue;
      directions.push_back({host, other});
      if (!event.options.contains("one_way")) directions.push_back({other, host});
    }
  for (auto& [from, to] : directions) world_.cut(from, to, how);
  world_.in(duration_of(event), [this, directions] {
    for (auto& [from, to] : directions) world_.heal(from, to);
  });
}

// cloud_outage [for=S]: the cloud's API responds with errors
void ScenarioActions::cloud_outage(const ScenarioEvent& event) {
  deployment_.fleet().cloud().set_outage(true);
  world_.in(duration_of(event), [this] { deployment_.fleet().cloud().set_outage(false); });
}

// boots late|never [in=S] [for=S]: sets the boot time of machines rented in this period
void ScenarioActions::change_boot_time(const ScenarioEvent& event) {
  deployment_.fleet().cloud().set_boot_time(event.target == "never" ? Cloud::never_boots
                                                                    : event.options.number("in"));
  world_.in(duration_of(event),
            [this] { deployment_.fleet().cloud().set_boot_time(plan_.boot_s); });
}

// hang MACHINES [for=S]: pauses the whole machines
void ScenarioActions::hang(const ScenarioEvent& event) {
  for (auto* worker : deployment_.select_machines(event.target)) worker->hang(duration_of(event));
  release_copies_on_return(duration_of(event));
}

// deaf MACHINES [for=S]: the workers receive neither requests nor responses
void ScenarioActions::drop_incoming_messages(const ScenarioEvent& event) {
  set_machine_fault(event, &Worker::loses_incoming_messages);
}

// lose_requests MACHINES [for=S]: controllers' requests to the workers are lost
void ScenarioActions::drop_requests(const ScenarioEvent& event) {
  set_machine_fault(event, &Worker::loses_requests);
}

// late_commands MACHINES by=S [for=S]: direct commands are carried out late and not answered
void ScenarioActions::delay_commands(const ScenarioEvent& event) {
  for (auto* worker : deployment_.select_machines(event.target)) {
    worker->command_delay_s = event.options.number("by");
    world_.in(duration_of(event), [this, id = worker->id] {
      if (auto* same = deployment_.fleet().find(id)) same->command_delay_s = 0;
    });
  }
}

// mute MACHINES [for=S]: the workers' heartbeats are lost
void ScenarioActions::drop_heartbeats(const ScenarioEvent& event) {
  set_machine_fault(event, &Worker::loses_heartbeats);
}

// sick MACHINES [for=S]: every task fails at its start
void ScenarioActions::fail_tasks(const ScenarioEvent& event) {
  set_machine_fault(event, &Worker::fails_tasks);
}

void ScenarioActions::set_machine_fault(const ScenarioEvent& event, bool Worker::*fault) {
  for (auto* worker : deployment_.select_machines(event.target)) {
    worker->*fault = true;
    world_.in(duration_of(event), [this, id = worker->id, fault] {
      if (auto* same = deployment_.fleet().find(id)) same->*fault = false;
    });
  }
}

// die MACHINES: removes the machines with all their tasks
void ScenarioActions::terminate_machines(const ScenarioEvent& event) {
  for (auto* worker : deployment_.select_machines(event.target)) worker->terminate();
}

// keep MACHINES: keeps a copy of each worker's current heartbeat
void ScenarioActions::keep_heartbeat(const ScenarioEvent& event) {
  for (auto* worker : deployment_.select_machines(event.target)) worker->keep_heartbeat();
}

// late_report MACHINES [to=HOSTS]: delivers the kept heartbeats now
void ScenarioActions::redeliver_kept_heartbeat(const ScenarioEvent& event) {
  for (auto* worker : deployment_.select_machines(event.target))
    for (auto& host : deployment_.select_hosts(event.options.text("to", "leader")))
      worker->redeliver_kept_heartbeat(host);
}

}  // namespace damsonport::simulation
