#include "coordination/api/user_api.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/api/admission.hpp"
#include "coordination/scheduling/gangs.hpp"

namespace damsonport {

namespace {
constexpr size_t max_queued = 256;  // beyond that users are told to come back
constexpr double retry_after_s = 1;
constexpr double longest_wait_s = 1.5;      // users give up after 5 s
constexpr double latest_retry_after_s = 8;  // they come back for a minute in all
// Writes wanted for each one that arrives: users come in bunches.
constexpr double arrival_headroom = 2;
}  // namespace

HttpResponse bad_request(const std::string& why) { return {400, encode({{"error", why}}), 0}; }

template <class T>
struct UserApi::Queued {
  std::deque<T*>& queue;
  T& item;
  Notification& notification;
  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> h) {
    item.waiter = h;
    queue.push_back(&item);
    notification.notify();
  }
  void await_resume() const {}
};

UserApi::UserApi(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
                 MachineTypeCatalog& catalog, const VersionRegistry& versions)
    : loop_(loop),
      settings_(settings),
      store_(store),
      cache_(cache),
      catalog_(catalog),
      versions_(versions),
      submitted_(loop),
      asked_(loop),
      write_arrivals_(settings.heartbeat_interval_s) {}

// By the queue alone a controller would get its share only once its users wait.
double UserApi::wanted_writes() const {
  return static_cast<double>(submissions_.size() + refused_) +
         arrival_headroom * write_arrivals_.at(loop_.now());
}

HttpResponse UserApi::busy() const { return {503, {}, retry_after_s}; }

namespace {
// Of replicas of several parts only those count that have all of them.
uint64_t serving_tasks(const Job& job) {
  if (!job.spec.replicated()) return job.live;
  uint64_t serving = 0;
  for (uint32_t n = 0; n < gang_count(job.spec); ++n) {
    const RangeRecord record = job.record_of(gang_range(job.spec, n));
    if (record.live == job.spec.parts && !record.mixed_attempts) serving += record.live;
  }
  return serving;
}

HttpResponse unfinished(const Job& job) {
  const uint64_t serving = serving_tasks(job);
  const char* status = serving > 0 ? "running" : "queued";
  return {200, encode_job_progress(job.spec.id, status, job.done, serving), 0};
}
}  // namespace

HttpResponse UserApi::progress(const Job& job) const {
  if (job.cancelled) return {200, encode_job_progress(job.spec.id, "aborted", job.done, 0), 0};
  return unfinished(job);
}

// What is final can't change and is answered at once. Anything else may be older than what another
// node has told already, so it is confirmed against the state service first.
Task<HttpResponse> UserApi::state_of(std::string id) {
  for (int tries = 0; tries < 3; ++tries) {
    if (auto* f = cache_.final_state(id))
      co_return HttpResponse{200,
                             encode_job_status(id, *f == FinalState::done ? "done" : "aborted"), 0};
    Job* job = cache_.job(id);
    if (job && job->cancelled) co_return progress(*job);
    if (questions_.size() >= max_queued) co_return busy();
    Question q;
    q.id = id;
    q.version = job ? job->version : 0;
    co_await Queued<Question>{questions_, q, asked_};
    if (q.result == Confirmed::unavailable) co_return busy();
    if (q.result == Confirmed::yes) {
      if (q.version == 0) co_return HttpResponse{404, {}, 0};
      // The record may have gone from the cache since; then look again.
      if (Job* still = cache_.job(id); still && !still->cancelled) co_return progress(*still);
      continue;
    }
    if (auto answer = co_await read_state(id)) co_return std::move(*answer);
  }
  co_return busy();
}

// After a comparison that failed: reads begun after the question. Nothing: to be looked up again.
Task<std::optional<HttpResponse>> UserApi::read_state(std::string id) {
  auto final_record = co_await store_.get(keys::final_state(id), Importance::polling);
  if (!final_record.ok) co_return busy();
  if (final_record.found) {
    bool done = final_record.key_value.value.value("s", std::string()) == "done";
    cache_.remember_final(id, done ? FinalState::done : FinalState::cancelled);
    co_return std::nullopt;
  }
  auto record = co_await store_.get(keys::job(id), Importance::polling);
  if (!record.ok) co_return busy();
  if (!record.found) co_return std::nullopt;  // ended in between
  // Read just now, so no older than any answer given before the question. The cache itself only
  // takes changes in their order, from the watch.
  auto spec = decode_job(record.key_value.value);
  if (!spec) co_return busy();
  if (record.key_value.value.value(fields::cancelled, 0) != 0) {
    // Known here from before anybody is told: the other controllers rely on it.
    cache_.apply(record.key_value);
    co_return HttpResponse{200, encode_job_status(id, "aborted"), 0};
  }
  Job* cached = cache_.job(id);
  if (!cached) co_return HttpResponse{200, encode_job_progress(id, "queued", 0, 0), 0};
  co_return unfinished(*cached);
}

Task<HttpResponse> UserApi::poll(std::string id) {
  if (!valid_job_id(id)) co_return HttpResponse{404, {}, 0};
  if (!cache_.loaded()) co_return busy();
  co_return co_await state_of(std::move(id));
}

// Many polls share one transaction that only compares.
Task<void> UserApi::run_confirm_loop(std::stop_token stop_token) {
  const size_t max_conditions =
      static_cast<size_t>(settings_.state_limits.always().txn_conditions());
  while (!stop_token.stop_requested()) {
    if (questions_.empty()) {
      co_await asked_.wait(60, stop_token);
      // Questions that come close together share a request.
      if (!co_await Sleep(loop_, 0.02, stop_token)) break;
      if (questions_.empty()) continue;
    }
    Transaction transaction;
    std::vector<Question*> batch;
    std::vector<Question*> again;
    while (!questions_.empty() && transaction.preconditions.size() + 2 <= max_conditions) {
      auto* q = questions_.front();
      questions_.pop_front();
      // Of one job only one version can be confirmed at a time: the cache moved on between the two.
      auto [condition, fresh] = transaction.preconditions.try_emplace(keys::job(q->id), q->version);
      if (!fresh && condition->second != q->version) {
        again.push_back(q);
        continue;
      }
      batch.push_back(q);
      if (q->version == 0) transaction.preconditions[keys::final_state(q->id)] = 0;
    }
    auto reply = co_await store_.compare_and_swap(std::move(transaction), Importance::polling);
    auto failed = [&](const std::string& key) {
      return std::find(reply.failed.begin(), reply.failed.end(), key) != reply.failed.end();
    };
    for (auto* q : batch) {
      if (reply.outcome == TransactionOutcome::committed) {
        q->result = Confirmed::yes;
      } else if (reply.outcome == TransactionOutcome::conflict) {
        // A refusal need not name every condition that failed: of those it leaves out nothing is
        // known, and they are asked again. Each round answers one at least.
        if (!failed(keys::job(q->id)) && !failed(keys::final_state(q->id)) &&
            !reply.failed.empty()) {
          again.push_back(q);
          continue;
        }
        q->result = Confirmed::changed;
      }
      q->waiter.resume();
    }
    questions_.insert(questions_.begin(), again.begin(), again.end());
  }
}

Task<HttpResponse> UserApi::submit(std::string body) {
  const auto message = decode_map(body);
  body.clear();
  if (!message.is_object()) co_return bad_request("the body is not a CBOR map");
  auto spec = decode_submission(message);
  if (!spec) co_return bad_request(spec.error());
  const std::string id = spec->id;
  if (!cache_.loaded() || !catalog_.known()) co_return busy();
  if (cache_.job(id) || cache_.final_state(id)) co_return co_await state_of(id);
  // It stays as it is for this job, whatever the file says later.
  settings_.replicas.describe(*spec);
  auto verdict = check_admission(*spec, settings_, catalog_.types());
  if (verdict != AdmissionResult::admitted) {
    // A job that was accepted once stays accepted, whatever the check would say now.
    auto known = co_await state_of(id);
    if (known.status == 404) {
      static constexpr const char* reasons[] = {
          "", "unknown team", "a task fits no allowed machine type", "more than the team's limit",
          "the tasks don't divide into whole replicas of this class"};
      co_return HttpResponse{422, encode({{"error", reasons[static_cast<size_t>(verdict)]}}), 0};
    }
    co_return known;
  }
  // An older controller would run a gang's tasks one by one.
  if (spec->kind == JobKind::gang && !versions_.all_have(VersionRegistry::gangs)) co_return busy();
  if (spec->replicated() && !versions_.all_have(VersionRegistry::replicas)) co_return busy();
  write_arrivals_.note(loop_.now());
  // Nobody is held beyond what can be written soon; whoever comes later is told when to come back.
  const double rate = store_.limit().writes_per_s();
  if (static_cast<double>(submissions_.size()) >= std::max(rate * longest_wait_s, 1.0)) {
    ++refused_lately_;
    const double ahead = static_cast<double>(submissions_.size() + refused_ + refused_lately_);
    co_return HttpResponse{429, {}, std::clamp(ahead / rate, retry_after_s, latest_retry_after_s)};
  }
  spec->accepted_at = loop_.wall();
  drop_unknown_machine_types(*spec, catalog_.types());
  if (!job_record_fits(*spec, settings_.state_limits.always().value_kb))
    co_return bad_request("the job's names are too long");
  Submission s;
  s.spec = std::move(*spec);
  co_await Queued<Submission>{submissions_, s, submitted_};
  if (s.result == Accepted::fresh) co_return HttpResponse{201, encode_job_status(id, "queued"), 0};
  if (s.result == Accepted::known) co_return co_await state_of(id);
  co_return busy();
}

// Submissions that come close together share a transaction.
Task<void> UserApi::run_accept_loop(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    if (submissions_.empty()) {
      co_await submitted_.wait(60, stop_token);
      if (submissions_.empty()) continue;
    }
    co_await accept(next_submissions());
  }
}

std::vector<UserApi::Submission*> UserApi::next_submissions() {
  constexpr size_t max_bytes = size_t{48} * 1024;
  const auto max_writes = static_cast<size_t>(settings_.state_limits.always().txn_writes);
  std::vector<Submission*> batch;
  std::set<std::string> ids;
  size_t bytes = 0;
  for (auto it = submissions_.begin(); it != submissions_.end() && batch.size() < max_writes;) {
    auto* s = *it;
    size_t size = 1024 + s->spec.types.size() * 210;
    // The same job twice: the second waits for the next transaction.
    if (bytes + size > max_bytes || !ids.insert(s->spec.id).second) {
      ++it;
      continue;
    }
    bytes += size;
    batch.push_back(s);
    it = submissions_.erase(it);
  }
  return batch;
}

void UserApi::finish(const std::vector<Submission*>& submissions, Accepted result) {
  for (auto* s : submissions) {
    s->result = result;
    s->waiter.resume();
  }
}

Task<void> UserApi::accept(std::vector<Submission*> batch) {
  const uint32_t chunk = chunk_size(settings_.state_limits.always().value_kb);
  while (!batch.empty()) {
    Transaction transaction;
    for (auto* s : batch) {
      transaction.preconditions[keys::job(s->spec.id)] = 0;
      transaction.preconditions[keys::final_state(s->spec.id)] = 0;
      transaction.writes.push_back({keys::job(s->spec.id), encode_job_record(s->spec, chunk), 0});
    }
    auto writes = transaction.writes;
    auto reply = co_await store_.compare_and_swap(std::move(transaction), Importance::accepting);
    if (reply.outcome == TransactionOutcome::conflict && !reply.failed.empty()) {
      // Those are known already; the rest goes again.
      std::vector<Submission*> rest, known;
      for (auto* s : batch) {
        bool failed = std::any_of(reply.failed.begin(), reply.failed.end(), [&](auto& key) {
          return key == keys::job(s->spec.id) || key == keys::final_state(s->spec.id);
        });
        (failed ? known : rest).push_back(s);
      }
      if (known.empty()) rest.clear(), known = batch;
      batch = std::move(rest);
      finish(known, Accepted::known);
      continue;
    }
    // Without a definite answer nobody is kept waiting: the same id may be sent again.
    const bool fresh = reply.outcome == TransactionOutcome::committed;
    if (fresh) {
      cache_.apply_writes(writes, reply.revision);
      for (auto* s : batch)
        spdlog::debug("accepted {}: {} x {} of {}", s->spec.id, s->spec.tasks, s->spec.job_class,
                      s->spec.team);
    }
    finish(batch, fresh ? Accepted::fresh : Accepted::unavailable);
    co_return;
  }
}

Task<HttpResponse> UserApi::cancel(std::string id) {
  if (!valid_job_id(id)) co_return HttpResponse{404, {}, 0};
  if (!cache_.loaded()) co_return busy();
  for (int tries = 0; tries < 4; ++tries) {
    if (auto* f = cache_.final_state(id))
      co_return HttpResponse{200,
                             encode_job_status(id, *f == FinalState::done ? "done" : "aborted"), 0};
    auto record = co_await store_.get(keys::job(id), Importance::accepting);
    if (!record.ok) co_return busy();
    if (!record.found) {
      auto final_record = co_await store_.get(keys::final_state(id), Importance::accepting);
      if (!final_record.ok) co_return busy();
      if (!final_record.found) {
        // Accepted between the two reads, or never: the confirmed answer tells.
        auto state = co_await state_of(id);
        if (state.status != 200) co_return state;
        continue;
      }
      bool done = final_record.key_value.value.value("s", std::string()) == "done";
      cache_.remember_final(id, done ? FinalState::done : FinalState::cancelled);
      continue;
    }
    if (record.key_value.value.value(fields::cancelled, 0) != 0) {
      cache_.apply(record.key_value);
      co_return HttpResponse{200, encode_job_status(id, "aborted"), 0};
    }
    write_arrivals_.note(loop_.now());
    Transaction transaction;
    transaction.preconditions[keys::job(id)] = record.key_value.version;
    record.key_value.value[fields::cancelled] = 1;
    record.key_value.value[fields::cancelled_at] = loop_.wall();
    transaction.writes.push_back({keys::job(id), std::move(record.key_value.value), 0});
    auto writes = transaction.writes;
    auto reply = co_await store_.compare_and_swap(std::move(transaction), Importance::accepting);
    if (reply.outcome == TransactionOutcome::committed) {
      // Known here before the user is told, without waiting for the watch; that starts before it
      // may still be unknown is minded where ends are committed.
      cache_.apply_writes(writes, reply.revision);
      spdlog::info("job {} is cancelled by its user", id);
      co_return HttpResponse{200, encode_job_status(id, "aborted"), 0};
    }
    if (reply.outcome == TransactionOutcome::refused) co_return busy();
  }
  co_return busy();
}

}  // namespace damsonport
