#include "coordination/autoscaling/scale_out_requests.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport {

namespace {
constexpr int max_machines_per_request = 50;
/// Limit on the requests that one call of scale_out() sends.
constexpr int max_requests_per_kind = 4;
/// Limit on the retries of a request without a final reply. After the last retry the request counts
/// as refused, and its record is removed.
constexpr int max_retries = 5;
constexpr double cloud_timeout_s = 3.0;
/// Bounds of the random delay between two attempts, which is multiplied by the number of attempts
/// so far.
constexpr double min_retry_delay_s = 0.3;
constexpr double max_retry_delay_s = 1.0;
/// The first backoff after a refusal, in heartbeat intervals. Each further refusal doubles the
/// backoff.
constexpr double first_backoff_intervals = 2;
/// The longest backoff, as a multiple of the first one.
constexpr double max_backoff_factor = 8;
/// Random deviation of a backoff in either direction, as a share of the backoff.
constexpr double backoff_jitter = 0.2;

MachineKind kind_of(const ScaleOutRequest& request) {
  return {request.type, request.zone, request.spot};
}

const char* spot_suffix(bool spot) { return spot ? " (spot)" : ""; }

/// Whether the reply states the outcome of the request. After any other reply, or none, the cloud
/// may or may not have created the machines.
bool is_final_reply(const HttpClientResponse& reply) {
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
  // Requests of an earlier lease don't decrement the counts when they end.
  pending_counts_.clear();
  answered_requests_.clear();
}

bool ScaleOutRequests::is_refused(const MachineKind& kind) const {
  auto it = refusals_.find(kind);
  return it != refusals_.end() && it->second.until > loop_.now();
}

bool ScaleOutRequests::is_scarce(const MachineKind& kind, double within_s) const {
  auto it = last_refused_at_.find(kind);
  return it != last_refused_at_.end() && loop_.now() - it->second < within_s;
}

void ScaleOutRequests::resume(const std::stop_token& stop_token) {
  std::vector<ScaleOutRequest> unanswered;
  for (const auto& [id, record] : cache_.scale_out_requests())
    if (!has_pending(kind_of(record.request))) unanswered.push_back(record.request);
  for (auto& request : unanswered) spawn_request(std::move(request), stop_token);
}

void ScaleOutRequests::scale_out(const MachineKind& kind, int count,
                                 const std::stop_token& stop_token) {
  for (int requests = 0; count > 0 && requests < max_requests_per_kind; ++requests) {
    const int machines = std::min(count, max_machines_per_request);
    count -= machines;
    // The request id is unique across controllers and their incarnations.
    spawn_request({"r-" + std::to_string(incarnation_) + "-" + std::to_string(loop_.random64()),
                   kind.type, kind.zone, kind.spot, machines},
                  stop_token);
  }
}

void ScaleOutRequests::spawn_request(ScaleOutRequest request, std::stop_token stop_token) {
  ++pending_counts_[kind_of(request)];
  loop_.spawn("scale-out request", run_request(std::move(request), std::move(stop_token)));
}

Task<void> ScaleOutRequests::run_request(ScaleOutRequest request, std::stop_token stop_token) {
  const auto fencing_token = fencing_token_;
  const auto kind = kind_of(request);
  co_await send_and_record(std::move(request), std::move(stop_token));
  // A request of an earlier lease is not included in pending_counts_.
  if (fencing_token != fencing_token_) co_return;
  if (auto it = pending_counts_.find(kind); it != pending_counts_.end() && --it->second <= 0)
    pending_counts_.erase(it);
}

Task<void> ScaleOutRequests::send_and_record(ScaleOutRequest request, std::stop_token stop_token) {
  const auto fencing_token = fencing_token_;
  // The cloud has answered this request, but its record could not be removed from the key-value
  // store: only the removal is retried.
  if (answered_requests_.contains(request.id)) {
    co_await remove_record(request.id);
    co_return;
  }
  if (!cache_.scale_out_requests().contains(request.id) && !co_await commit_request(request))
    co_return;
  const auto reply = co_await send_with_retries(request, stop_token);
  if (fencing_token != fencing_token_ || stop_token.stop_requested()) co_return;
  apply_reply(request, reply);
  answered_requests_.insert(request.id);
  co_await remove_record(request.id);
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

Task<HttpClientResponse> ScaleOutRequests::send_with_retries(const ScaleOutRequest& request,
                                                             std::stop_token stop_token) {
  const auto fencing_token = fencing_token_;
  HttpClientResponse reply;
  for (int retries = 0; fencing_token == fencing_token_ && !stop_token.stop_requested();
       ++retries) {
    reply = co_await http_.request(settings_.cloud, Method::post, "/hosts",
                                   encode_scale_out_request(request), cloud_timeout_s);
    if (is_final_reply(reply) || retries >= max_retries) break;
    if (!co_await Sleep(loop_, loop_.uniform(min_retry_delay_s, max_retry_delay_s) * (retries + 1),
                        stop_token))
      break;
  }
  co_return reply;
}

void ScaleOutRequests::apply_reply(const ScaleOutRequest& request,
                                   const HttpClientResponse& reply) {
  const auto kind = kind_of(request);
  std::vector<std::string> machines;
  if (reply.status == 200) {
    machines = decode_created_machines(decode_map(reply.body));
    if (on_machines_created) on_machines_created(machines, kind);
    spdlog::info("scale out: {} of {} {} created in {}{}", machines.size(), request.count,
                 request.type, request.zone, spot_suffix(request.spot));
  }
  auto& refusal = refusals_[kind];
  if (static_cast<int>(machines.size()) >= request.count) {
    refusal = {};
    return;
  }
  last_refused_at_[kind] = loop_.now();
  // The refusal applies for a limited time only, because the cloud may get capacity again.
  const double first_backoff_s = settings_.heartbeat_interval_s * first_backoff_intervals;
  refusal.backoff_s = refusal.backoff_s > 0
                          ? std::min(refusal.backoff_s * 2, first_backoff_s * max_backoff_factor)
                          : first_backoff_s;
  refusal.until =
      loop_.now() + refusal.backoff_s * loop_.uniform(1 - backoff_jitter, 1 + backoff_jitter);
  spdlog::debug("scale out: no capacity left for {} in {}{}", kind.type, kind.zone,
                spot_suffix(kind.spot));
}

Task<void> ScaleOutRequests::remove_record(std::string id) {
  Transaction transaction;
  transaction.writes.push_back({keys::scale_out_request(id), Json(), 0});
  auto writes = transaction.writes;
  auto removed =
      co_await store_.compare_and_swap(std::move(transaction), RequestPriority::scheduling);
  if (removed.outcome != TransactionOutcome::committed) co_return;
  cache_.apply_writes(writes, removed.revision);
  answered_requests_.erase(id);
}

}  // namespace damsonport
