#include "protocol/messages.hpp"

#include <charconv>
#include <cmath>

namespace damsonport {

namespace {

// Fields of a job's record that a user's message doesn't have.
constexpr const char* parts_key = "parts";
constexpr const char* distinct_key = "distinct_machines";

const Json* field(const Json& m, const char* key) {
  auto it = m.find(key);
  return it == m.end() || it->is_null() ? nullptr : &*it;
}

bool get(const Json& m, const char* key, std::string& out) {
  auto* v = field(m, key);
  if (!v || !v->is_string()) return false;
  out = v->get<std::string>();
  return true;
}
bool get(const Json& m, const char* key, double& out) {
  auto* v = field(m, key);
  if (!v || !v->is_number()) return false;
  out = v->get<double>();
  return std::isfinite(out);
}
bool get(const Json& m, const char* key, bool& out) {
  auto* v = field(m, key);
  if (!v || !v->is_boolean()) return false;
  out = v->get<bool>();
  return true;
}
bool get(const Json& m, const char* key, uint64_t& out) {
  auto* v = field(m, key);
  if (!v || !v->is_number_integer()) return false;
  if (!v->is_number_unsigned() && v->get<int64_t>() < 0) return false;
  out = v->get<uint64_t>();
  return true;
}
bool get(const Json& m, const char* key, std::vector<std::string>& out) {
  auto* v = field(m, key);
  if (!v || !v->is_array()) return false;
  for (auto& item : *v) {
    if (!item.is_string()) return false;
    out.push_back(item.get<std::string>());
  }
  return true;
}
std::string text_or_empty(const Json& m, const char* key) {
  std::string out;
  get(m, key, out);
  return out;
}

// Absent and null are the same: the default stays. A value of the wrong kind is an error.
template <class T>
bool optional(const Json& m, const char* key, T& out) {
  return !field(m, key) || get(m, key, out);
}

constexpr std::string_view kinds[] = {"batch", "service", "ensemble"};
constexpr std::string_view priorities[] = {"idle", "normal", "high", "production"};
constexpr std::string_view states[] = {"fetching", "running", "flushing", "exited", "waiting"};
constexpr std::string_view causes[] = {"",     "done",    "stopped", "error", "no_room",
                                       "busy", "no_such", "peers",   "alone"};

template <class E, size_t N>
bool parse_enum(const std::string_view (&names)[N], std::string_view text, E& out) {
  for (size_t i = 0; i < N; ++i)
    if (names[i] == text) {
      out = static_cast<E>(i);
      return true;
    }
  return false;
}

constexpr const char* sequence_key = "tally";

constexpr uint32_t max_tasks = 100000;
constexpr size_t max_text = 200;

}  // namespace

Json decode_map(const std::string& body) {
  auto m = Json::from_cbor(body, true, false);
  return m.is_object() ? m : Json();
}

std::string encode(const Json& value) {
  std::string out;
  Json::to_cbor(value, out);
  return out;
}

bool valid_job_id(std::string_view id) {
  constexpr std::string_view prefix = "run-";
  if (!id.starts_with(prefix) || id.size() == prefix.size() || id.size() > 64) return false;
  for (char c : id.substr(prefix.size()))
    if (!(c >= '0' && c <= '9') && !(c >= 'a' && c <= 'z') && !(c >= 'A' && c <= 'Z') && c != '-' &&
        c != '_' && c != '.')
      return false;
  return true;
}

bool parse_task_id(std::string_view text, TaskId& out) {
  auto slash = text.rfind('/');
  if (slash == std::string_view::npos) return false;
  auto tail = text.substr(slash + 1);
  auto [end, err] = std::from_chars(tail.data(), tail.data() + tail.size(), out.index);
  if (err != std::errc{} || end != tail.data() + tail.size()) return false;
  out.job = std::string(text.substr(0, slash));
  return true;
}

namespace {
bool decode_types(const Json& m, std::vector<std::string>& types) {
  constexpr size_t most = 64;
  if (!optional(m, "hulls", types) || types.size() > most) return false;
  if (field(m, "hulls") && types.empty()) return false;
  return std::all_of(types.begin(), types.end(),
                     [](auto& type) { return !type.empty() && type.size() <= max_text; });
}
}  // namespace

Result<JobSpec> decode_job(const Json& m) {
  JobSpec s;
  std::string text;
  auto bad = [](const char* name) { return Error{std::string(name) + " is missing or invalid"}; };
  if (!get(m, "ref", s.id) || !valid_job_id(s.id)) return bad("ref");
  if (!get(m, "berth", s.job_class) || s.job_class.empty() || s.job_class.size() > max_text)
    return bad("berth");
  if (!get(m, "owner", s.team) || s.team.empty() || s.team.size() > max_text) return bad("owner");
  if (!get(m, "shape", text) || !parse_enum(kinds, text, s.kind)) return bad("shape");
  if (!get(m, "rank", text) || !parse_enum(priorities, text, s.priority)) return bad("rank");
  uint64_t tasks = 0;
  if (!get(m, "hands", tasks) || tasks < 1 || tasks > max_tasks) return bad("hands");
  s.tasks = static_cast<uint32_t>(tasks);
  auto amount = [&](const char* key, double& out, bool needed) {
    return (needed ? get(m, key, out) : optional(m, key, out)) && out >= 0 && out < 1e9;
  };
  if (!amount("cores", s.cpus, true)) return bad("cores");
  if (!amount("accelerators", s.gpus, false)) return bad("accelerators");
  if (!amount("memory_gb", s.memory_gb, true)) return bad("memory_gb");
  if (!get(m, "cargo", s.image) || s.image.empty() || s.image.size() > max_text)
    return bad("cargo");
  if (!amount("size_gb", s.image_gb, true)) return bad("size_gb");
  if (!decode_types(m, s.types)) return bad("hulls");
  if (!optional(m, "dock", s.zone) || s.zone.size() > max_text) return bad("dock");
  if (!optional(m, "same_place", s.one_zone)) return bad("same_place");
  if (!optional(m, "spread", s.spread)) return bad("spread");
  if (!optional(m, "tender", s.spot)) return bad("tender");
  if (!amount("voyage_s", s.estimate_s, false)) return bad("voyage_s");
  if (!amount("moor_s", s.checkpoint_s, false)) return bad("moor_s");
  if (!amount("stow_s", s.save_s, false)) return bad("stow_s");
  if (field(m, "due_s") && (!get(m, "due_s", s.deadline_s) || s.deadline_s < 0))
    return bad("due_s");
  optional(m, "accepted_at", s.accepted_at);
  uint64_t parts = 1;
  if (optional(m, parts_key, parts) && parts > 1 && parts <= s.tasks)
    s.parts = static_cast<uint32_t>(parts);
  optional(m, distinct_key, s.distinct_machines);
  return s;
}

Result<JobSpec> decode_submission(const Json& m) {
  for (const char* needed :
       {"accelerators", "same_place", "spread", "tender", "voyage_s", "moor_s", "stow_s"})
    if (!field(m, needed)) return Error{std::string(needed) + " is missing or invalid"};
  auto spec = decode_job(m);
  // Ours alone.
  if (spec) {
    spec->accepted_at = 0;
    spec->parts = 1;
    spec->distinct_machines = false;
  }
  return spec;
}

Json encode_job(const JobSpec& s) {
  Json m = {{"ref", s.id},
            {"berth", s.job_class},
            {"owner", s.team},
            {"shape", kinds[static_cast<size_t>(s.kind)]},
            {"rank", priorities[static_cast<size_t>(s.priority)]},
            {"hands", s.tasks},
            {"cores", s.cpus},
            {"accelerators", s.gpus},
            {"memory_gb", s.memory_gb},
            {"cargo", s.image},
            {"size_gb", s.image_gb},
            {"accepted_at", s.accepted_at}};
  if (!s.types.empty()) m["hulls"] = s.types;
  if (!s.zone.empty()) m["dock"] = s.zone;
  if (s.one_zone) m["same_place"] = true;
  if (s.spread) m["spread"] = true;
  if (s.spot) m["tender"] = true;
  if (s.estimate_s > 0) m["voyage_s"] = s.estimate_s;
  if (s.checkpoint_s > 0) m["moor_s"] = s.checkpoint_s;
  if (s.save_s > 0) m["stow_s"] = s.save_s;
  if (s.deadline_s >= 0) m["due_s"] = s.deadline_s;
  if (s.parts > 1) m[parts_key] = s.parts;
  if (s.distinct_machines) m[distinct_key] = true;
  return m;
}

Result<Heartbeat> decode_heartbeat(const Json& m) {
  Heartbeat r;
  if (!get(m, "vessel", r.machine) || r.machine.empty() || r.machine.size() > max_text)
    return Error{"vessel"};
  if (!get(m, "address", r.address) || !get(m, "hull", r.type) || !get(m, "dock", r.zone) ||
      !optional(m, "tender", r.spot) || !get(m, "watch", r.agent_epoch) ||
      !get(m, sequence_key, r.sequence))
    return Error{"report of " + r.machine + " lacks a field"};
  if (!optional(m, "helm", r.fencing_token)) return Error{"helm"};
  double notice = 0;
  if (field(m, "recall_s") && get(m, "recall_s", notice)) r.notice_s = notice;
  auto* tasks = field(m, "hands");
  if (!tasks) return r;
  if (!tasks->is_array()) return Error{"hands"};
  r.tasks.reserve(tasks->size());
  for (auto& t : *tasks) {
    TaskStatus out;
    std::string text;
    if (!t.is_object() || !get(t, "hand", text) || !parse_task_id(text, out.task) ||
        !get(t, "launch", out.attempt) || !get(t, "status", text))
      return Error{"a task of " + r.machine + " lacks a field"};
    // An unknown state still holds room on the machine: read it as running.
    if (!parse_enum(states, text, out.state)) out.state = TaskState::running;
    if (out.state == TaskState::exited &&
        (!get(t, "cause", text) || !parse_enum(causes, text, out.cause)))
      out.cause = ExitCause::error;
    optional(t, "kept", out.saved);
    r.tasks.push_back(std::move(out));
  }
  return r;
}

std::string_view encoded_sequence_key() {
  static const std::string key = encode(sequence_key);
  return key;
}

Json encode_commands(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (auto& c : commands) {
    Json m = {{"hand", c.task.text()}, {"launch", c.attempt}};
    switch (c.op) {
      case Command::Op::start:
        m["order"] = "run";
        break;
      case Command::Op::stop:
        m["order"] = "halt";
        m["slack_s"] = c.grace_s;
        break;
      case Command::Op::remove:
        m["order"] = "reap";
        break;
    }
    list.push_back(std::move(m));
  }
  return list;
}

std::string encode_heartbeat_response(uint64_t fencing_token,
                                      const std::vector<Command>& commands) {
  return encode({{"helm", fencing_token}, {"orders", encode_commands(commands)}});
}

std::string encode_direct_commands(uint64_t fencing_token, uint64_t agent_epoch,
                                   const std::vector<Command>& commands) {
  return encode(
      {{"helm", fencing_token}, {"watch", agent_epoch}, {"orders", encode_commands(commands)}});
}

std::string encode_redirect(const std::string& controller) {
  Json m = Json::object();
  if (!controller.empty()) m["harbour"] = controller;
  return encode(m);
}

Result<std::vector<MachineType>> decode_catalog(const Json& m) {
  auto* list = m.is_object() ? field(m, "hulls") : nullptr;
  if (!list || !list->is_array()) return Error{"the catalogue has no machine types"};
  std::vector<MachineType> out;
  for (auto& item : *list) {
    MachineType t;
    if (!item.is_object() || !get(item, "name", t.name) || !get(item, "cores", t.cpus) ||
        !get(item, "memory_gb", t.memory_gb))
      return Error{"a machine type lacks a field"};
    optional(item, "accelerators", t.gpus);
    optional(item, "local_gb", t.cache_gb);
    optional(item, "pull_gb_per_s", t.fetch_gb_per_s);
    optional(item, "hourly", t.price);
    optional(item, "spot_price", t.spot_price);
    optional(item, "ready_s", t.boot_s);
    optional(item, "docks", t.zones);
    out.push_back(std::move(t));
  }
  return out;
}

Result<MachineList> decode_machine_list(const Json& m) {
  auto* list = m.is_object() ? field(m, "vessels") : nullptr;
  if (!list || !list->is_array()) return Error{"the machine list is malformed"};
  MachineList out;
  optional(m, "more", out.more);
  for (auto& item : *list) {
    ListedMachine l;
    if (!item.is_object() || !get(item, "ref", l.id)) return Error{"a listed machine has no name"};
    l.address = text_or_empty(item, "address");
    l.type = text_or_empty(item, "hull");
    l.zone = text_or_empty(item, "dock");
    l.state = text_or_empty(item, "status");
    optional(item, "tender", l.spot);
    optional(item, "held_s", l.age_s);
    out.machines.push_back(std::move(l));
  }
  return out;
}

std::string encode_scale_out_request(const ScaleOutRequest& r) {
  return encode({{"charter", r.id},
                 {"hull", r.type},
                 {"dock", r.zone},
                 {"tender", r.spot},
                 {"count", r.count}});
}

std::vector<std::string> decode_created_machines(const Json& m) {
  std::vector<std::string> out;
  if (m.is_object()) get(m, "vessels", out);
  return out;
}

std::string encode_return(const std::vector<std::string>& machines) {
  return encode({{"vessels", machines}});
}

std::string encode_job_status(const std::string& id, std::string_view status) {
  return encode({{"ref", id}, {"status", status}});
}

std::string encode_job_progress(const std::string& id, std::string_view status, uint64_t done,
                                uint64_t running) {
  return encode({{"ref", id}, {"status", status}, {"done", done}, {"running", running}});
}

}  // namespace damsonport
