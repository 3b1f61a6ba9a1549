// What the holder writes: exits, ends of jobs and starts, each conditional on `blocks` and on the
// record that it changes.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/holder.hpp"

namespace damsonport {

namespace {

// Edits of chunk records, gathered into one transaction inside the service's limits.
class ChunkEdits {
 public:
  ChunkEdits(Cache& cache, int max_writes) : cache_(cache), max_writes_(max_writes) {}

  // The record to edit, or null when the transaction is full.
  ChunkRecord* edit(Job& job, uint32_t chunk) {
    auto key = keys::chunk(job.spec.id, chunk);
    auto it = edits_.find(key);
    if (it != edits_.end()) return &it->second;
    if (static_cast<int>(edits_.size()) >= max_writes_) return nullptr;
    ChunkRecord record;
    if (auto c = job.chunks.find(chunk); c != job.chunks.end()) record = c->second.record;
    size_t size = 64 + 48 * (record.live.size() + record.waiting.size() + 8);
    if (bytes_ + size > max_bytes && !edits_.empty()) return nullptr;
    bytes_ += size;
    txn_.conditions[key] = cache_.chunk_version(job.spec.id, chunk);
    return &(edits_[key] = std::move(record));
  }
  bool empty() const { return edits_.empty(); }
  Txn finish() {
    txn_.conditions[keys::blocks] = cache_.blocks_version();
    for (auto& [key, record] : edits_) txn_.writes.push_back({key, encode_chunk(record), 0});
    return std::move(txn_);
  }
  Txn& txn() { return txn_; }

 private:
  static constexpr size_t max_bytes = 48 * 1024;
  Cache& cache_;
  int max_writes_;
  size_t bytes_ = 0;
  std::map<std::string, ChunkRecord> edits_;
  Txn txn_;
};

placing::Amounts need_of(const JobSpec& s) { return {s.cpus, s.gpus, s.memory_gb}; }

}  // namespace

Task<void> Holder::reread(std::vector<std::string> failed) {
  for (auto& key : failed) {
    auto read = co_await p_.state.read(key, Importance::placing);
    if (read.ok && read.found) cache_.apply(read.item);
  }
}

// Commits surely. Nothing else of this holder is written meanwhile, so whatever is in doubt keeps
// its room and its team's quota until the outcome is known.
Task<bool> Holder::settle(Txn txn, std::stop_token token) {
  auto writes = txn.writes;
  auto reply = co_await p_.state.commit_surely(std::move(txn), Importance::placing, token);
  if (reply.outcome == Outcome::committed) {
    cache_.apply_writes(writes, reply.revision);
    co_return true;
  }
  if (reply.outcome == Outcome::conflict) {
    spdlog::debug("a commit lost against a change of {}",
                  reply.failed.empty() ? "?" : reply.failed.front());
    co_await reread(std::move(reply.failed));
  }
  co_return false;
}

Task<bool> Holder::commit_exits(std::stop_token token) {
  if (exits_.empty() || !records_current()) co_return false;
  ChunkEdits edits(cache_, settings_.txn_ops);
  std::vector<TaskName> taken;
  for (auto it = exits_.begin(); it != exits_.end();) {
    auto& [name, exit] = *it;
    Job* job = cache_.job(name.job);
    uint32_t chunk = job ? name.index / job->chunk_size : 0;
    const LiveTask* live = nullptr;
    if (job && job->chunks.contains(chunk))
      live = job->chunks[chunk].record.find_live(name.index % job->chunk_size);
    if (!live || live->attempt != exit.attempt) {
      it = exits_.erase(it);  // the records are past it
      continue;
    }
    auto* record = edits.edit(*job, chunk);
    if (!record) break;
    record->end(name.index % job->chunk_size, exit.cause == ExitCause::done);
    taken.push_back(name);
    ++it;
  }
  if (edits.empty()) co_return false;
  if (co_await settle(edits.finish(), token)) {
    for (auto& name : taken) {
      auto it = exits_.find(name);
      if (it == exits_.end()) continue;
      finish_exit(it->second, name);
      exits_.erase(it);
    }
    place_again_ = true;
  }
  co_return true;
}

// A job's record goes when all its tasks are done, or when it was cancelled and none is left.
Task<bool> Holder::commit_finals(std::stop_token token) {
  if (!records_current()) co_return false;
  Txn txn;
  std::vector<std::string> ended;
  int room = settings_.txn_ops;
  for (auto& [id, job] : cache_.jobs()) {
    bool over = job->cancelled ? job->live == 0 : job->finished();
    // Complete up to the job's last change: no start before a cancellation is unknown to us.
    if (!over || cache_.revision() < job->version) continue;
    int chunks = static_cast<int>(job->chunks.size());
    // Chunks that don't fit in become orphans, which are swept later.
    int with = std::min(chunks, std::max(0, settings_.txn_ops - 2));
    if (room < 2 + with) break;
    room -= 2 + with;
    txn.conditions[keys::job(id)] = job->version;
    txn.writes.push_back({keys::job(id), Json(), 0});
    txn.writes.push_back(
        {keys::final_state(id), {{"s", job->cancelled ? "aborted" : "done"}, {"n", job->done}}, 0});
    for (auto& [n, chunk] : job->chunks) {
      if (with-- <= 0) break;
      txn.writes.push_back({keys::chunk(id, n), Json(), 0});
    }
    ended.push_back(id);
    spdlog::info("job {} is {}", id, job->cancelled ? "cancelled and gone" : "done");
    if (room < 3) break;
  }
  if (ended.empty()) {
    for (auto& key : cache_.orphans()) {
      if (room-- <= 0) break;
      txn.writes.push_back({key, Json(), 0});
    }
    if (txn.writes.empty()) co_return false;
  }
  txn.conditions[keys::blocks] = cache_.blocks_version();
  std::vector<std::pair<std::string, bool>> outcome;
  for (auto& id : ended) outcome.emplace_back(id, cache_.job(id)->cancelled);
  if (co_await settle(std::move(txn), token))
    for (auto& [id, cancelled] : outcome)
      cache_.remember_final(id, cancelled ? FinalState::cancelled : FinalState::done);
  co_return true;
}

placing::Input Holder::placement_input(std::vector<std::string>& machine_ids,
                                       std::vector<std::pair<std::string, uint32_t>>& live_names) {
  placing::Input in;
  in.now = loop_.wall();
  in.guarantee_within_s = settings_.guarantee_within();
  const double now = loop_.now();
  std::map<std::string, size_t> team_at;
  for (auto& t : settings_.teams) {
    team_at[t.name] = in.teams.size();
    in.teams.push_back({t.name, {}, {t.cpus, t.gpus, 0}, {t.cpus_max, t.gpus_max, 0}});
  }
  std::map<const Job*, size_t> job_at;
  for (auto& [id, job] : cache_.jobs()) {
    auto& s = job->spec;
    placing::JobView v;
    v.id = id;
    v.team = s.team;
    v.image = s.image;
    v.image_gb = s.image_gb;
    v.service = s.kind == Kind::service;
    v.gang = s.kind == Kind::gang;
    v.priority = static_cast<int>(s.priority);
    v.need = need_of(s);
    v.types = s.types;
    v.zone = s.zone;
    v.one_zone = s.one_zone;
    v.spread = s.spread;
    v.spot = s.spot;
    v.tasks = s.tasks;
    v.cancelled = job->cancelled;
    v.unfinished = static_cast<uint32_t>(s.tasks - job->done);
    v.accepted_at = s.accepted_at;
    v.due_at = s.deadline_s >= 0 ? s.accepted_at + s.deadline_s : 0;
    v.begun = job->live + job->done > 0;
    v.start_within_s = settings_.start_within(s.cls);
    auto hint = hints_.find(id);
    bool held_back = hint != hints_.end() && hint->second.backoff_until > now;
    v.waiting = job->cancelled || held_back ? 0 : static_cast<uint32_t>(job->unstarted());
    job_at[job.get()] = in.jobs.size();
    in.jobs.push_back(std::move(v));
  }
  for (auto& [id, m] : machines_) {
    placing::MachineView v;
    v.id = id;
    v.type = m.type;
    v.zone = m.zone;
    v.spot = m.spot;
    v.total = total_of(m);
    v.free = free_of(m);
    v.open = open_for_work(m);
    v.speed = m.straggler.updates >= tuning_.straggler_test_every ? m.straggler.average : 1.0;
    if (auto* type = p_.catalog.type(m.type)) v.fetch_gb_per_s = type->fetch_gb_per_s;
    for (auto& [image, use] : m.images.images()) v.images.push_back(image);
    for (auto& [image, since] : m.fetching) v.fetching.push_back(image);
    for (auto& job : m.failed_jobs) v.bad_jobs.push_back(job);
    size_t at = in.machines.size();
    for (auto& [a, attempt] : cache_.assigned(id)) {
      placing::LiveView l;
      l.job = job_at.at(a.job);
      l.machine = at;
      l.index = a.index;
      auto& s = a.job->spec;
      TaskName name{s.id, a.index};
      double started = -1e6;
      if (auto it = attempts_.find(name); it != attempts_.end())
        if (auto t = it->second.find(attempt); t != it->second.end())
          started = t->second.running_at ? t->second.running_at : now;
      l.age_s = now - started;
      bool saves = s.checkpoint_s > 0;
      // Stopped with time to save it loses nothing but that time.
      l.grace_s = stop_grace(s);
      l.abrupt_s = std::min(l.age_s, s.checkpoint_s / 2);
      l.lost_s = saves ? 0 : std::min(l.age_s, std::max(s.estimate_s, 1.0) * 2);
      auto stop = stopping_.find(name);
      l.stopping = (stop != stopping_.end() && stop->second.attempt == attempt) ||
                   a.job->cancelled || exits_.contains(name);
      if (l.stopping) v.coming_free += need_of(s);
      if (auto t = team_at.find(s.team); t != team_at.end()) in.teams[t->second].used += need_of(s);
      in.live.push_back(l);
      live_names.emplace_back(s.id, a.index);
    }
    machine_ids.push_back(id);
    in.machines.push_back(std::move(v));
  }
  return in;
}

Task<bool> Holder::commit_starts(std::stop_token token) {
  const double now = loop_.now();
  if (!records_current() || !p_.catalog.known() || !place_again_ || now < next_place_)
    co_return false;
  // One pass serves all that came meanwhile; passes are spaced so that bursts share them.
  next_place_ = now + std::min(0.05, settings_.report_s / 30);
  place_again_ = false;

  std::vector<std::string> machine_ids;
  std::vector<std::pair<std::string, uint32_t>> live_names;
  auto in = placement_input(machine_ids, live_names);
  auto decided = placing::place(in);

  unplaced_.clear();
  waiting_tasks_ = 0;
  for (auto& u : decided.unplaced) {
    waiting_tasks_ += u.count;
    if (u.room_coming) continue;
    auto& j = in.jobs[u.job];
    unplaced_.push_back({j.need, u.count, j.types, j.zone, j.spot});
  }
  for (auto& s : decided.stops) {
    auto& live = in.live[s.live];
    TaskName name{live_names[s.live].first, live_names[s.live].second};
    Machine& m = machine(machine_ids[live.machine]);
    auto reported = m.tasks.find(name);
    Job* job = cache_.job(name.job);
    if (!job) continue;
    auto& assigned = cache_.assigned(m.id);
    auto a = assigned.find({job, name.index});
    if (a == assigned.end()) continue;
    stopping_[name] = {a->second, s.grace_s};
    spdlog::info("stopping {} attempt {} on {} to make room", name.text(), a->second, m.id);
    if (reported != m.tasks.end() && reported->second.attempt == a->second)
      order(m, {Command::Op::stop, name, a->second, s.grace_s});
  }

  struct Started {
    TaskName task;
    uint64_t attempt;
    std::string machine;
    bool cached;
  };
  size_t next = 0;
  bool any = false;
  while (next < decided.starts.size() && holding()) {
    ChunkEdits edits(cache_, settings_.txn_ops);
    std::vector<Started> started;
    for (; next < decided.starts.size(); ++next) {
      auto& s = decided.starts[next];
      auto& view = in.jobs[s.job];
      Job* job = cache_.job(view.id);
      // Changed while an earlier part was being committed: the next pass sees it as it is.
      if (!job || job->cancelled) continue;
      uint32_t index = 0, chunk = 0;
      uint64_t attempt = 0;
      ChunkRecord* record = nullptr;
      bool full = false;
      for (; chunk < job->chunk_count(); ++chunk) {
        auto c = job->chunks.find(chunk);
        if (c != job->chunks.end() && c->second.record.next == job->size_of(chunk) &&
            c->second.record.waiting.empty())
          continue;
        record = edits.edit(*job, chunk);
        if (!record) {
          full = true;
          break;
        }
        if (record->peek_startable(job->size_of(chunk), 0, index, attempt)) break;
        record = nullptr;
      }
      if (full) break;
      if (!record) continue;
      const auto& machine_id = machine_ids[s.machine];
      record->start(index, attempt, machine_id);
      edits.txn().conditions[keys::job(view.id)] = job->version;
      bool cached = placing::holds(in.machines[s.machine], view.image);
      started.push_back({{view.id, chunk * job->chunk_size + index}, attempt, machine_id, cached});
    }
    if (started.empty()) break;
    any = true;
    if (!co_await settle(edits.finish(), token)) {
      place_again_ = true;
      break;
    }
    const double at = loop_.now();
    for (auto& s : started) {
      attempts_[s.task] = {{s.attempt, {at, 0, s.cached}}};
      stopping_.erase(s.task);
      spdlog::debug("start {} attempt {} on {}{}", s.task.text(), s.attempt, s.machine,
                    s.cached ? "" : " (image to be fetched)");
      auto it = machines_.find(s.machine);
      if (it == machines_.end()) continue;
      it->second.idle_since = at;
      order(it->second, {Command::Op::start, s.task, s.attempt, 0});
    }
  }
  co_return any;
}

}  // namespace damsonport
