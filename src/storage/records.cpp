#include "storage/records.hpp"

#include <algorithm>
#include <charconv>

namespace damsonport {

size_t stored_size(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

LiveTask* TaskChunk::find_live(uint32_t index) {
  auto it = first_from(live, index);
  return it != live.end() && it->index == index ? &*it : nullptr;
}

bool TaskChunk::peek_startable(uint32_t size, uint32_t skip, uint32_t& index,
                               uint64_t& attempt) const {
  if (skip < waiting.size()) {
    index = waiting[skip].index;
    attempt = waiting[skip].attempt + 1;
    return true;
  }
  skip -= static_cast<uint32_t>(waiting.size());
  if (next + skip >= size) return false;
  index = next + skip;
  attempt = 1;
  return true;
}

bool TaskChunk::is_startable(uint32_t index) const {
  if (index >= next) return true;
  auto at = first_from(waiting, index);
  return at != waiting.end() && at->index == index;
}

void TaskChunk::start(uint32_t index, uint64_t attempt, const std::string& machine) {
  std::erase_if(waiting, [&](const WaitingTask& w) { return w.index == index; });
  // Untouched tasks that are passed over become waiting ones that never ran.
  while (next <= index) {
    if (next != index) waiting.push_back({next, 0});
    ++next;
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const WaitingTask& a, const WaitingTask& b) { return a.index < b.index; });
  auto at = first_from(live, index);
  live.insert(at, {index, attempt, machine});
}

void TaskChunk::end(uint32_t index, TaskEnd end) {
  auto* task = find_live(index);
  if (!task) return;
  uint64_t attempt = task->attempt;
  live.erase(live.begin() + (task - live.data()));
  if (end == TaskEnd::done) return;
  auto at = first_from(waiting, index);
  waiting.insert(at, {index, attempt});
}

uint64_t TaskChunk::last_attempt() const {
  uint64_t last = 0;
  for (auto& t : live) last = std::max(last, t.attempt);
  for (auto& t : waiting) last = std::max(last, t.attempt);
  return last;
}

Json encode_chunk(const TaskChunk& c) {
  Json m = {{"n", c.next}};
  if (!c.live.empty()) {
    auto& list = m["l"] = Json::array();
    for (auto& t : c.live) list.push_back({t.index, t.attempt, t.machine});
  }
  if (!c.waiting.empty()) {
    auto& list = m["w"] = Json::array();
    for (auto& t : c.waiting) list.push_back({t.index, t.attempt});
  }
  return m;
}

TaskChunk decode_chunk(const Json& m) {
  TaskChunk c;
  c.next = m.value("n", 0u);
  if (m.contains("l"))
    for (auto& t : m["l"])
      c.live.push_back(
          {t.at(0).get<uint32_t>(), t.at(1).get<uint64_t>(), t.at(2).get<std::string>()});
  if (m.contains("w"))
    for (auto& t : m["w"]) c.waiting.push_back({t.at(0).get<uint32_t>(), t.at(1).get<uint64_t>()});
  return c;
}

Json encode_job_record(const JobSpec& spec, uint32_t chunk_size) {
  auto record = encode_job(spec);
  record[fields::chunk_size] = chunk_size;
  return record;
}

bool job_record_fits(const JobSpec& spec, double value_kb) {
  constexpr size_t cancellation_bytes = 64;  // added when the job is cancelled
  const auto record = encode_job_record(spec, chunk_size(value_kb));
  return static_cast<double>(stored_size(record) + cancellation_bytes) <= value_kb * 1024;
}

namespace {
// The longest entry in text: [9999,1844674407370955161,"i-0000000000"], with room to spare.
constexpr double entry_bytes = 48, head_bytes = 64;

bool parse_number(std::string_view text, uint32_t& out) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc{} && end == text.data() + text.size();
}
}  // namespace

std::optional<ChunkName> parse_chunk_name(std::string_view text) {
  const auto first = text.find('/');
  if (first == std::string_view::npos) return std::nullopt;
  ChunkName name;
  name.job = std::string(text.substr(0, first));
  auto rest = text.substr(first + 1);
  if (const auto second = rest.find('/'); second != std::string_view::npos) {
    if (!parse_number(rest.substr(0, second), name.chunk_layout)) return std::nullopt;
    rest = rest.substr(second + 1);
  }
  if (!parse_number(rest, name.number)) return std::nullopt;
  return name;
}

bool chunk_fits(const TaskChunk& record, double value_kb) {
  const double limit = value_kb * 1024 - entry_bytes;
  const auto entries = static_cast<double>(record.live.size() + record.waiting.size());
  // Most are far below, and need not be written out to be measured.
  if (head_bytes + entry_bytes * entries <= limit) return true;
  return static_cast<double>(stored_size(encode_chunk(record))) <= limit;
}

uint32_t chunk_size(double value_kb) {
  double fits = (value_kb * 1024 - head_bytes) / entry_bytes;
  return static_cast<uint32_t>(std::clamp(fits, 1.0, 1024.0));
}

size_t machines_per_tombstone(double value_kb) {
  constexpr double longest_name_bytes = 24, head_bytes = 64, most = 100;
  const double fits = (value_kb * 1024 - head_bytes) / longest_name_bytes;
  return static_cast<size_t>(std::clamp(fits, 1.0, most));
}

Json encode_tombstone(const std::vector<std::string>& machines) { return {{"machines", machines}}; }

Json encode_scale_out_record(const ScaleOutRequest& request) {
  return {{"type", request.type},
          {"zone", request.zone},
          {"spot", request.spot},
          {"count", request.count}};
}

Json encode_final_state(FinalState state, uint64_t done) {
  return {{"s", state == FinalState::cancelled ? "aborted" : "done"}, {"n", done}};
}

FinalState decode_final_state(const Json& value) {
  return value.value("s", std::string()) == "done" ? FinalState::done : FinalState::cancelled;
}

Json encode_shard_table(const ShardTable& b) {
  Json leases = Json::array();
  for (auto& g : b.leases) {
    Json m = {{"node", g.controller}, {"inc", g.incarnation}, {"term", g.fencing_token}};
    if (g.covers_unassigned) m["rest"] = true;
    if (!g.machines.empty()) m["machines"] = g.machines;
    leases.push_back(std::move(m));
  }
  return {{"grants", std::move(leases)}, {"renewals", b.renewals}};
}

ShardTable decode_shard_table(const Json& m) {
  ShardTable b;
  b.renewals = m.value("renewals", uint64_t{0});
  if (m.contains("grants"))
    for (auto& g : m["grants"]) {
      ShardLease out;
      out.controller = g.value("node", std::string());
      out.incarnation = g.value("inc", uint64_t{0});
      out.fencing_token = g.value("term", uint64_t{0});
      out.covers_unassigned = g.value("rest", false);
      if (g.contains("machines")) out.machines = g["machines"].get<std::vector<std::string>>();
      b.leases.push_back(std::move(out));
    }
  return b;
}

Json encode_forwarded_exit(const ForwardedExit& e) {
  return {e.machine, e.task.job, e.task.index, e.attempt, static_cast<int>(e.cause)};
}

Json encode_forwarded_exits(const ForwardedExits& r) {
  Json list = Json::array();
  for (auto& e : r.exits) list.push_back(encode_forwarded_exit(e));
  return {{"term", r.fencing_token}, {"exits", std::move(list)}};
}

ForwardedExits decode_forwarded_exits(const Json& m) {
  ForwardedExits r;
  r.fencing_token = m.value("term", uint64_t{0});
  if (!m.contains("exits")) return r;
  for (auto& e : m["exits"]) {
    const int cause = e.at(4).get<int>();
    // One that a later version knows is an end all the same.
    const bool known = cause > 0 && cause <= static_cast<int>(ExitCause::alone);
    r.exits.push_back({e.at(0).get<std::string>(),
                       {e.at(1).get<std::string>(), e.at(2).get<uint32_t>()},
                       e.at(3).get<uint64_t>(),
                       known ? static_cast<ExitCause>(cause) : ExitCause::stopped});
  }
  return r;
}

Json encode_leader(const LeaderRecord& l) {
  return {{"node", l.controller}, {"inc", l.incarnation}};
}

LeaderRecord decode_leader(const Json& m) {
  return {m.value("node", std::string()), m.value("inc", uint64_t{0})};
}

}  // namespace damsonport
