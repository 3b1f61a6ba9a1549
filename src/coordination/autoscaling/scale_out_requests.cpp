#include "coordination/autoscaling/scale_out_requests.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport {

namespace {
constexpr int max_machines_a_request = 50;
constexpr int max_requests_a_kind = 4;  // under way at once
constexpr int max_repeats = 5;          // before the next pass asks again
constexpr double cloud_timeout_s = 3.0;
// Pause after a refusal, in report periods, and how far it grows.
constexpr double first_pause_reports = 2, longest_pause_factor = 8;

MachineKind kind_of(const ScaleOutRequest& request) {
  return {request.type, request.zone, request.spot};
}

bool is_answer(const HttpReply& reply) {
  if (reply.status == 200 || reply.status == 400) return true;
  if (reply.status != 503) return false;
  auto body = decode_map(reply.body);
  return body.is_object() && body.value("error", std::string()) == "no capacity";
}
}  // namespace

ScaleOutRequests::ScaleOutRequests(Loop& loop, const Settings& settings, KeyValueClient& store,
                                   RecordCache& cache, HttpClient& http, uint64_t incarnation)
    : loop_(loop),
      settings_(settings),
      store_(store),
      cache_(cache),
      http_(http),
      incarnation_(incarnation) {}

void ScaleOutRequests::begin_lease(uint64_t fencing_token) {
  fencing_token_ = fencing_token;
  if (fencing_token == 0) return;
  // The kinds of requests of an older term must not stay closed.
  under_way_.clear();
  answered_.clear();
}

bool ScaleOutRequests::refused(const MachineKind& kind) const {
  auto it = refusals_.find(kind);
  return it != refusals_.end() && it->second.until > loop_.now();
}

bool ScaleOutRequests::scarce(const MachineKind& kind, double within_s) const {
  auto it = last_refused_.find(kind);
  return it != last_refused_.end() && loop_.now() - it->second < within_s;
}

void ScaleOutRequests::resume(const std::stop_token& stop_token) {
  std::vector<ScaleOutRequest> left;
  for (auto& [id, rental] : cache_.scale_out_requests())
    if (!under_way(kind_of(rental.request))) left.push_back(rental.request);
  for (auto& request : left) start(std::move(request), stop_token);
}

void ScaleOutRequests::scale_out(const MachineKind& kind, int count,
                                 const std::stop_token& stop_token) {
  for (int calls = 0; count > 0 && calls < max_requests_a_kind; ++calls) {
    const int now = std::min(count, max_machines_a_request);
    count -= now;
    // Unique over nodes and incarnations.
    start({"r-" + std::to_string(incarnation_) + "-" + std::to_string(loop_.random64()), kind.type,
           kind.zone, kind.spot, now},
          stop_token);
  }
}

void ScaleOutRequests::start(ScaleOutRequest request, std::stop_token stop_token) {
  ++under_way_[kind_of(request)];
  loop_.spawn("rental", run(std::move(request), std::move(stop_token)));
}

Task<void> ScaleOutRequests::run(ScaleOutRequest request, std::stop_token stop_token) {
  const auto fencing_token = fencing_token_;
  const auto kind = kind_of(request);
  co_await carry_out(std::move(request), std::move(stop_token));
  // One of an older term is not among those counted.
  if (fencing_token != fencing_token_) co_return;
  if (auto it = under_way_.find(kind); it != under_way_.end() && --it->second <= 0)
    under_way_.erase(it);
}

Task<void> ScaleOutRequests::carry_out(ScaleOutRequest request, std::stop_token stop_token) {
  const auto fencing_token = fencing_token_;
  // Answered, but the state service could not remove its record: not asked for again and again.
  if (answered_.contains(request.id)) {
    co_await forget_request(request.id);
    co_return;
  }
  if (!cache_.scale_out_requests().contains(request.id) && !co_await commit_request(request))
    co_return;
  const auto reply = co_await ask_cloud(request, stop_token);
  if (fencing_token != fencing_token_ || stop_token.stop_requested()) co_return;
  note_answer(request, reply);
  answered_.insert(request.id);
  co_await forget_request(request.id);
}

Task<bool> ScaleOutRequests::commit_request(const ScaleOutRequest& request) {
  Transaction transaction;
  transaction.preconditions[keys::shard_table] = cache_.shard_table_version();
  transaction.preconditions[keys::scale_out_request(request.id)] = 0;
  transaction.writes.push_back(
      {keys::scale_out_request(request.id), encode_scale_out_record(request), 0});
  auto writes = transaction.writes;
  auto reply =
      co_await store_.compare_and_swap(std::move(transaction), RequestPriority::scheduling);
  if (reply.outcome != TransactionOutcome::committed) co_return false;
  cache_.apply_writes(writes, reply.revision);
  co_return true;
}

Task<HttpReply> ScaleOutRequests::ask_cloud(const ScaleOutRequest& request,
                                            std::stop_token stop_token) {
  const auto fencing_token = fencing_token_;
  HttpReply reply;
  for (int tries = 0; fencing_token == fencing_token_ && !stop_token.stop_requested(); ++tries) {
    reply = co_await http_.request(settings_.cloud, Method::post, "/hosts",
                                   encode_scale_out_request(request), cloud_timeout_s);
    if (is_answer(reply) || tries >= max_repeats) break;
    if (!co_await Sleep(loop_, loop_.uniform(0.3, 1.0) * (tries + 1), stop_token)) break;
  }
  co_return reply;
}

void ScaleOutRequests::note_answer(const ScaleOutRequest& request, const HttpReply& reply) {
  const auto kind = kind_of(request);
  std::vector<std::string> machines;
  if (reply.status == 200) {
    machines = decode_created_machines(decode_map(reply.body));
    if (on_machines_created) on_machines_created(machines, kind);
    spdlog::info("rented {} of {} {} in {}{}", machines.size(), request.count, request.type,
                 request.zone, request.spot ? " (spot)" : "");
  }
  auto& refusal = refusals_[kind];
  if (static_cast<int>(machines.size()) >= request.count) {
    refusal = {};
    return;
  }
  last_refused_[kind] = loop_.now();
  // Remembered, but never for good: capacity comes back.
  const double first_s = settings_.heartbeat_interval_s * first_pause_reports;
  refusal.pause_s =
      refusal.pause_s > 0 ? std::min(refusal.pause_s * 2, first_s * longest_pause_factor) : first_s;
  refusal.until = loop_.now() + refusal.pause_s * loop_.uniform(0.8, 1.2);
  spdlog::debug("the cloud has no more {} in {}{}", kind.type, kind.zone,
                kind.spot ? " (spot)" : "");
}

Task<void> ScaleOutRequests::forget_request(std::string id) {
  Transaction transaction;
  transaction.writes.push_back({keys::scale_out_request(id), Json(), 0});
  auto writes = transaction.writes;
  auto removed =
      co_await store_.compare_and_swap(std::move(transaction), RequestPriority::scheduling);
  if (removed.outcome != TransactionOutcome::committed) co_return;
  cache_.apply_writes(writes, removed.revision);
  answered_.erase(id);
}

}  // namespace damsonport
