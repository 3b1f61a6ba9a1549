// Plays the kept traces: text files with events in and the decisions expected. See traces/README.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "coordination/autoscaling/autoscaler.hpp"
#include "coordination/machines/dead_machine_timeout.hpp"
#include "coordination/machines/reconcile.hpp"
#include "coordination/machines/straggler.hpp"
#include "coordination/scheduling/scheduler.hpp"

namespace damsonport {
namespace {

using Words = std::map<std::string, std::string>;

// "key=value" words of a line, after its leading ones.
Words pairs(std::istringstream& in) {
  Words out;
  for (std::string word; in >> word;) {
    auto eq = word.find('=');
    out[word.substr(0, eq)] = eq == std::string::npos ? "yes" : word.substr(eq + 1);
  }
  return out;
}
double num(const Words& w, const char* key, double otherwise = 0) {
  auto it = w.find(key);
  return it == w.end() ? otherwise : std::stod(it->second);
}
std::string str(const Words& w, const char* key) {
  auto it = w.find(key);
  return it == w.end() ? "" : it->second;
}
std::vector<std::string> list(const Words& w, const char* key) {
  std::vector<std::string> out;
  std::istringstream in(str(w, key));
  for (std::string item; std::getline(in, item, ',');) out.push_back(item);
  return out;
}

class Trace {
 public:
  void line(const std::string& text) {
    std::istringstream in(text);
    std::string verb, name;
    in >> verb;
    if (verb.empty() || verb[0] == '#') return;
    if (verb == "expect") {
      std::string rest;
      std::getline(in >> std::ws, rest);
      expected_.push_back(rest);
      return;
    }
    if (verb == "place") return run_place(pairs(in));
    if (verb == "plan") return run_plan();
    if (verb == "silent") {  // silent N now=S known=N give_up=S lease=S
      in >> name;
      auto w = pairs(in);
      double limit =
          dead_machine_timeout_.timeout_s(num(w, "now"), static_cast<size_t>(num(w, "known")),
                                          std::stoul(name), num(w, "give_up"), num(w, "lease"));
      actual_.push_back("given up after " + std::to_string(static_cast<int>(limit)));
      return;
    }
    if (verb == "reconcile") return run_reconcile(pairs(in));
    in >> name;
    auto w = pairs(in);
    if (verb == "machine") {
      add_machine(name, w);
    } else if (verb == "booting") {
      add_booting(name, w);
    } else if (verb == "team") {
      add_team(name, w);
    } else if (verb == "job") {
      add_job(name, w);
    } else if (verb == "live") {
      add_live_task(name, w);
    } else if (verb == "report") {  // report M session=N seq=N token=N [late]
      Heartbeat r;
      r.machine = name;
      r.agent_epoch = static_cast<uint64_t>(num(w, "session", 1));
      r.sequence = static_cast<uint64_t>(num(w, "seq", 1));
      r.fencing_token = static_cast<uint64_t>(num(w, "token"));
      for (auto& item : list(w, "tasks")) {  // JOB/INDEX:ATTEMPT:STATE
        TaskStatus t;
        auto a = item.find(':'), b = item.rfind(':');
        ASSERT_TRUE(parse_task_id(item.substr(0, a), t.task));
        t.attempt = std::stoull(item.substr(a + 1, b - a - 1));
        auto state = item.substr(b + 1);
        t.state = state == "running"    ? TaskState::running
                  : state == "fetching" ? TaskState::fetching
                  : state == "saving"   ? TaskState::saving
                                        : TaskState::exited;
        t.cause = state == "done" ? ExitCause::done : ExitCause::stopped;
        r.tasks.push_back(t);
      }
      if (!apply_heartbeat(machine_, r, 0, false))
        actual_.push_back("ignored " + std::to_string(r.sequence));
    } else if (verb == "record") {  // record TASK attempt=N [cancelled] [stop=S]
      DesiredTask e;
      ASSERT_TRUE(parse_task_id(name, e.task));
      e.attempt = static_cast<uint64_t>(num(w, "attempt", 1));
      e.cancelled = w.contains("cancelled");
      if (w.contains("stop")) e.stop = num(w, "stop");
      records_.push_back(e);
    } else if (verb == "sent") {  // sent TASK attempt=N how=flight|request|answer [token=N]
      AttemptKey key;
      ASSERT_TRUE(parse_task_id(name, key.first));
      key.second = static_cast<uint64_t>(num(w, "attempt", 1));
      auto how = str(w, "how");
      if (how == "request") {
        machine_.starts_in_requests[key] = static_cast<uint64_t>(num(w, "token"));
      } else {
        (how == "flight" ? machine_.starts_in_flight : machine_.starts_in_response).insert(key);
      }
    } else if (verb == "type") {  // type NAME cpus=N gpus=N price=N spot_price=N zones=Z,... boot=S
                                  // fetch=GB/s
      MachineType t;
      t.boot_s = num(w, "boot"), t.fetch_gb_per_s = num(w, "fetch", 1);
      t.name = name, t.cpus = num(w, "cpus"), t.gpus = num(w, "gpus"), t.memory_gb = 1e6;
      t.price = num(w, "price", 4), t.spot_price = num(w, "spot_price", 1);
      for (auto& zone : list(w, "zones"))
        for (bool spot : {false, true}) fleet_.offers.push_back({MachineKind{name, zone, spot}});
      fleet_.types.push_back(t);
    } else if (verb == "refused") {  // refused TYPE zone=Z [spot]
      for (auto& o : fleet_.offers)
        if (o.kind.type == name && o.kind.zone == str(w, "zone") &&
            o.kind.spot == w.contains("spot"))
          o.refused = true;
    } else if (verb == "under_way") {  // under_way TYPE zone=Z [spot]
      for (auto& o : fleet_.offers)
        if (o.kind.type == name && o.kind.zone == str(w, "zone") &&
            o.kind.spot == w.contains("spot"))
          o.request_pending = true;
    } else if (verb == "scarce") {  // scarce TYPE zone=Z [spot]
      for (auto& o : fleet_.offers)
        if (o.kind.type == name && o.kind.zone == str(w, "zone") &&
            o.kind.spot == w.contains("spot"))
          o.scarce = true;
    } else if (verb == "expected") {  // expected arrivals gpus=N cpus=N
      fleet_.expected_gpus = num(w, "gpus"), fleet_.expected_cpus = num(w, "cpus");
    } else if (verb == "in_use") {  // in_use tasks gpus=N cpus=N: by work with and without gpus
      fleet_.gpu_work.gpus = num(w, "gpus"), fleet_.cpu_work.cpus = num(w, "cpus");
    } else if (verb == "has") {
      // has MACHINE type=T zone=Z [spot] [booting] [idle=S] [images=GB] [gpus=FREE] [yielding=GPUS]
      autoscaling::MachineState m;
      m.id = name, m.type = str(w, "type"), m.zone = str(w, "zone"), m.spot = w.contains("spot");
      m.booting = w.contains("booting"), m.schedulable = !m.booting;
      for (auto& t : fleet_.types)
        if (t.name == m.type) m.total = m.free = {t.cpus, t.gpus, t.memory_gb};
      m.empty = w.contains("idle"), m.idle_s = num(w, "idle"), m.images_gb = num(w, "images");
      m.has_on_demand_work = w.contains("gpus");  // what isn't free is held by standing replicas
      m.free.gpus = num(w, "gpus", m.free.gpus);
      m.preemptible.gpus = num(w, "yielding"), m.preemptible.cpus = num(w, "yielding_cpus");
      fleet_.machines.push_back(m);
    } else if (verb == "work") {  // work NAME count=N cpus=N gpus=N: may use spot machines
      fleet_.spot_work.push_back({{num(w, "cpus"), num(w, "gpus"), 0},
                                  static_cast<uint32_t>(num(w, "count")),
                                  {},
                                  "",
                                  true});
    } else if (verb == "demand") {  // demand NAME count=N cpus=N [gang] [one_zone] [zone=Z]
      autoscaling::ResourceDemand d{{num(w, "cpus"), num(w, "gpus"), 0},
                                    static_cast<uint32_t>(num(w, "count")),
                                    {},
                                    str(w, "zone"),
                                    w.contains("spot")};
      d.gang = w.contains("gang"), d.one_zone = w.contains("one_zone");
      d.distinct_machines = w.contains("distinct");
      fleet_.demand.push_back(d);
    } else if (verb == "replace") {  // replace TYPE zone=Z [spot]
      fleet_.replacements.push_back({name, str(w, "zone"), w.contains("spot")});
    } else if (verb == "successes") {  // successes MACHINE run=S median=S count=N
      StragglerState s;
      RunTimes times;
      Tuning tuning;
      for (int i = 0; i < 50; ++i) times.add(num(w, "median"), tuning.straggler_min_successes);
      int n = static_cast<int>(num(w, "count")), at = 0;
      for (int i = 1; i <= n && !at; ++i)
        if (update_straggler_state(s, *times.add(num(w, "run"), tuning.straggler_min_successes),
                                   tuning))
          at = i;
      actual_.push_back(at ? "straggler " + name + " after " + std::to_string(at)
                           : "sound " + name);
    } else {
      FAIL() << "unknown line: " << text;
    }
  }
  void check() const { EXPECT_EQ(expected_, actual_); }

 private:
  // machine NAME type=T zone=Z [spot] [closed] cpus=N gpus=N memory=GB images=I,... fetch=GB/s
  //         speed=N price=SHARE [straggler] failed=JOB,...
  void add_machine(const std::string& name, const Words& w) {
    scheduling::MachineSnapshot machine;
    machine.id = name;
    machine.type = input_.types.id(str(w, "type"));
    machine.zone = input_.zones.id(str(w, "zone"));
    machine.spot = w.contains("spot");
    machine.schedulable = !w.contains("closed");
    machine.total = {num(w, "cpus"), num(w, "gpus"), num(w, "memory", 1e6)};
    machine.free = machine.total;
    for (auto& image : list(w, "images")) machine.images.push_back(input_.images.id(image));
    machine.fetch_gb_per_s = num(w, "fetch", 1);
    machine.speed = num(w, "speed", 1);
    machine.relative_price = num(w, "price");
    machine.straggler = w.contains("straggler");
    machine.failed_jobs = list(w, "failed");
    input_.machines.push_back(machine);
  }

  // booting TYPE zone=Z cpus=N gpus=N [spot]
  void add_booting(const std::string& type, const Words& w) {
    input_.booting.push_back({input_.types.id(type),
                              input_.zones.id(str(w, "zone")),
                              w.contains("spot"),
                              {num(w, "cpus"), num(w, "gpus"), num(w, "memory", 1e6)}});
  }

  // team NAME cpus=N gpus=N cpus_max=N gpus_max=N: guaranteed quota, quota limit
  void add_team(const std::string& name, const Words& w) {
    input_.teams.push_back(
        {name, {num(w, "cpus"), num(w, "gpus"), 0}, {num(w, "cpus_max"), num(w, "gpus_max"), 0}});
  }

  void add_job(const std::string& name, const Words& w) {
    scheduling::JobSnapshot job;
    job.id = name;
    for (size_t team = 0; team < input_.teams.size(); ++team)
      if (input_.teams[team].name == str(w, "team")) job.team = team;
    job.image = input_.images.id(str(w, "image"));
    job.image_gb = num(w, "gb");
    job.service = w.contains("service");
    job.priority = static_cast<int>(num(w, "priority", 1));
    read_constraints(w, job);
    read_gang(w, job);
    job.tasks = static_cast<uint32_t>(num(w, "tasks", 1));
    job.pending_tasks = static_cast<uint32_t>(num(w, "waiting", job.tasks));
    job.unfinished_tasks = job.tasks;
    job.cancelled = w.contains("cancelled");
    job.accepted_at = static_cast<double>(input_.jobs.size());
    job.deadline = num(w, "due");
    job.begun = w.contains("begun");
    job.start_within_s = num(w, "within");
    job.estimate_s = num(w, "estimate");
    job.checkpoint_s = num(w, "saves");
    job.grace_s = num(w, "grace");
    input_.jobs.push_back(job);
  }

  void read_constraints(const Words& w, scheduling::JobSnapshot& job) {
    job.need = {num(w, "cpus"), num(w, "gpus"), num(w, "memory")};
    for (auto& type : list(w, "types")) job.types.push_back(input_.types.id(type));
    job.zone = input_.zones.id(str(w, "zone"));
    job.one_zone = w.contains("one_zone");
    job.spread = w.contains("spread");
    job.spot = w.contains("spot");
  }

  // [gang] [replica=N] [family=PLACE of the job's first replica] [distinct]
  void read_gang(const Words& w, scheduling::JobSnapshot& job) const {
    const auto own_place = static_cast<double>(input_.jobs.size());
    job.gang = w.contains("gang");
    job.replica = w.contains("replica");
    job.replica_number = static_cast<uint32_t>(num(w, "replica"));
    job.replica_set = scheduling::JobIndex(static_cast<size_t>(num(w, "family", own_place)));
    job.distinct_machines = w.contains("distinct");
  }

  // live JOB machine=M [age=S] [stopping]
  void add_live_task(const std::string& job, const Words& w) {
    scheduling::RunningTaskSnapshot task;
    for (size_t i = 0; i < input_.jobs.size(); ++i)
      if (input_.jobs[i].id == job) task.job = scheduling::JobIndex(i);
    task.running_since = -num(w, "age", 100);
    task.stopping = w.contains("stopping");
    for (auto& machine : input_.machines) {
      if (machine.id != str(w, "machine")) continue;
      machine.free -= input_.jobs[task.job].need;
      task.index = static_cast<uint32_t>(machine.running_tasks.size());
      machine.running_tasks.push_back(task);
    }
  }

  void run_place(const Words& w) {
    input_.now = num(w, "now");
    // place now=S hold_after=S hold_for=S: gangs pending for longer than the first hold capacity
    // for the second
    if (w.contains("hold_after")) input_.gang_hold_after_s = num(w, "hold_after");
    input_.gang_hold_for_s = num(w, "hold_for");
    auto d = scheduling::schedule(input_);
    for (auto& s : d.placements)
      actual_.push_back("start " + input_.jobs[s.job].id + " on " + input_.machines[s.machine].id);
    for (auto& gang : d.gang_placements)
      for (size_t m : gang.machines)
        actual_.push_back("start " + input_.jobs[gang.job].id + " on " + input_.machines[m].id);
    for (auto& s : d.preemptions) {
      auto& m = input_.machines[s.machine];
      std::ostringstream grace;
      grace << s.grace_s;
      actual_.push_back("stop " + input_.jobs[m.running_tasks[s.running_task_index].job].id +
                        " on " + m.id + " grace " + grace.str());
    }
    for (auto& u : d.unschedulable)
      actual_.push_back("wait " + input_.jobs[u.job].id + " " + std::to_string(u.count) +
                        (u.capacity_pending ? " (room coming)" : "") +
                        (u.zone != 0 ? " in " + zone_name(u.zone) : ""));
  }
  // Of those that the trace names.
  std::string zone_name(scheduling::NameId zone) {
    for (const char* name : {"a", "b", "c"})
      if (input_.zones.id(name) == zone) return name;
    return "?";
  }
  void run_plan() {
    auto plan = autoscaling::plan(fleet_);
    for (auto& r : plan.scale_out)
      actual_.push_back("rent " + std::to_string(r.count) + " " + r.kind.type + " in " +
                        r.kind.zone + (r.kind.spot ? " (spot)" : ""));
    for (auto& id : plan.scale_in) actual_.push_back("give back " + id);
  }
  void run_reconcile(const Words& w) {
    const auto first = static_cast<uint64_t>(num(w, "term", 1));
    const auto newest = static_cast<uint64_t>(num(w, "newest", static_cast<double>(first)));
    auto out = reconcile(machine_, records_, {first, newest}, !w.contains("stale"));
    if (out.kept_exits > 0) actual_.push_back("keep " + std::to_string(out.kept_exits));
    for (auto& c : out.commands)
      actual_.push_back((c.op == Command::Op::start  ? "start "
                         : c.op == Command::Op::stop ? "stop "
                                                     : "forget ") +
                        c.task.text() + " " + std::to_string(c.attempt));
    for (auto& e : out.exits)
      actual_.push_back("gone " + e.task.text() + " " + std::to_string(e.attempt) +
                        (e.cause == ExitCause::done ? " done" : ""));
  }
  scheduling::SchedulerSnapshot input_;
  autoscaling::AutoscalerInput fleet_;
  DeadMachineTimeout dead_machine_timeout_;
  Machine machine_;
  std::vector<DesiredTask> records_;
  std::vector<std::string> expected_, actual_;
};

class TraceTest : public testing::TestWithParam<std::string> {};

TEST_P(TraceTest, MakesTheExpectedDecisions) {
  std::ifstream in(std::string(TRACE_DIR) + "/" + GetParam() + ".trace");
  ASSERT_TRUE(in);
  Trace trace;
  for (std::string text; std::getline(in, text);) trace.line(text);
  trace.check();
}

std::vector<std::string> trace_names() {
  std::vector<std::string> out;
  for (auto& f : std::filesystem::directory_iterator(TRACE_DIR))
    if (f.path().extension() == ".trace") out.push_back(f.path().stem());
  std::sort(out.begin(), out.end());
  return out;
}
INSTANTIATE_TEST_SUITE_P(Files, TraceTest, testing::ValuesIn(trace_names()));

}  // namespace
}  // namespace damsonport
