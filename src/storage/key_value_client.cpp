#include "storage/key_value_client.hpp"

#include <spdlog/spdlog.h>

namespace damsonport {

namespace {

constexpr double response_timeout_s = 1.5;  // responses usually take 10 ms, rarely 300 ms
constexpr double range_timeout_s = 2 * response_timeout_s;
constexpr int max_page_keys = 250;
// Delay before a transaction without a definite outcome is sent again; doubled after each attempt.
constexpr double initial_retry_delay_s = 0.02;
constexpr double max_retry_delay_s = 1.0;

// Field names of the store's messages.
namespace wire {
constexpr const char* key = "path";
constexpr const char* value = "data";
constexpr const char* version = "stamp";
constexpr const char* revision = "ledger";
constexpr const char* lease = "permit";
constexpr const char* lease_ms = "life_ms";
constexpr const char* preconditions = "if";
constexpr const char* writes = "writes";
constexpr const char* put = "set";
constexpr const char* remove = "remove";
constexpr const char* failed = "failed";
constexpr const char* pairs = "pairs";
constexpr const char* more = "more";
constexpr const char* changes = "news";
}  // namespace wire

// Returns 0 when the field is missing or not an integer.
uint64_t number(const Json& message, const char* field) {
  auto it = message.find(field);
  return it != message.end() && it->is_number_integer() ? it->get<uint64_t>() : 0;
}

// Moves the value out of the message: copying the values took most of the time of reading all
// records.
KeyValue take_key_value(Json& message, const char* key_field) {
  KeyValue out;
  if (auto it = message.find(key_field); it != message.end() && it->is_string()) out.key = *it;
  if (auto it = message.find(wire::value); it != message.end()) out.value = std::move(*it);
  out.version = number(message, wire::version);
  out.lease = number(message, wire::lease);
  return out;
}

KeyValue take_change(Json& message) {
  if (!message.contains(wire::remove)) return take_key_value(message, wire::put);
  KeyValue removed = take_key_value(message, wire::remove);
  removed.value = Json();
  return removed;
}

Json encode_write(Write write) {
  if (write.value.is_null()) return {{wire::remove, write.key}};
  Json put = {{wire::put, write.key}, {wire::value, std::move(write.value)}};
  if (write.lease) put[wire::lease] = write.lease;
  return put;
}

std::string encode_transaction(Transaction transaction) {
  Json preconditions = Json::array();
  for (auto& [key, version] : transaction.preconditions)
    preconditions.push_back({{wire::key, key}, {wire::version, version}});
  Json message = {{wire::preconditions, std::move(preconditions)}};
  if (!transaction.writes.empty()) {
    Json writes = Json::array();
    for (auto& write : transaction.writes) writes.push_back(encode_write(std::move(write)));
    message[wire::writes] = std::move(writes);
  }
  return encode(message);
}

TransactionOutcome outcome_of(int status) {
  switch (status) {
    case 200:
      return TransactionOutcome::committed;
    case 409:
      return TransactionOutcome::conflict;
    case 429:
    case 503:
      return TransactionOutcome::refused;
    case 400:
      return TransactionOutcome::invalid;
    default:
      return TransactionOutcome::unknown;
  }
}

std::vector<std::string> decode_failed_keys(const Json& message) {
  std::vector<std::string> out;
  if (!message.contains(wire::failed) || !message[wire::failed].is_array()) return out;
  for (auto& key : message[wire::failed])
    if (key.is_string()) out.push_back(key);
  return out;
}

TransactionResult decode_transaction_result(const HttpClientResponse& reply) {
  const auto message = decode_map(reply.body);
  TransactionResult result;
  result.outcome = outcome_of(reply.status);
  const bool conflict = result.outcome == TransactionOutcome::conflict;
  if (conflict || result.outcome == TransactionOutcome::committed)
    result.revision = number(message, wire::revision);
  if (conflict) result.failed_keys = decode_failed_keys(message);
  if (result.outcome == TransactionOutcome::invalid)
    spdlog::warn("the key-value store refused a transaction as malformed: {}", message.dump());
  return result;
}

}  // namespace

KeyValueClient::KeyValueClient(Loop& loop, HttpClient& http, Endpoint endpoint,
                               const StateLimitSettings& limits)
    : loop_(loop), http_(http), endpoint_(std::move(endpoint)), rate_limiter_(loop, limits) {}

Task<HttpClientResponse> KeyValueClient::call(Method method, std::string target, std::string body,
                                              RequestPriority priority, int writes,
                                              double timeout_s) {
  co_await rate_limiter_.acquire(priority, writes);
  auto reply =
      co_await http_.request(endpoint_, method, std::move(target), std::move(body), timeout_s);
  if (reply.answered() && reply.status != 503) last_contact_at_ = loop_.now();
  if (reply.status == 429) rate_limiter_.on_rate_limited();
  co_return reply;
}

Task<TransactionResult> KeyValueClient::compare_and_swap(Transaction transaction,
                                                         RequestPriority priority) {
  const int writes = static_cast<int>(transaction.writes.size());
  auto body = encode_transaction(std::move(transaction));
  const auto reply =
      co_await call(Method::post, "/txn", std::move(body), priority, writes, response_timeout_s);
  co_return decode_transaction_result(reply);
}

// A transaction without a response may still be applied at any later time. Sending the transaction
// again with the same preconditions makes the outcome definite: if a repeat commits, the versions
// of the keys have changed and earlier copies can only fail; if a repeat conflicts, either an
// earlier copy was applied or another client changed a key, and in both cases no copy can be
// applied any more. The caller reads the keys again after a conflict. This argument holds only for
// transactions that write at least one of the keys of their preconditions.
Task<TransactionResult> KeyValueClient::commit_until_resolved(Transaction transaction,
                                                              RequestPriority priority,
                                                              std::stop_token stop_token) {
  bool may_be_applied = false;  // by an earlier copy
  double retry_delay_s = initial_retry_delay_s;
  for (;;) {
    auto result = co_await compare_and_swap(transaction, priority);
    if (result.outcome == TransactionOutcome::unknown) may_be_applied = true;
    const bool is_definite = result.outcome == TransactionOutcome::committed ||
                             result.outcome == TransactionOutcome::conflict ||
                             (result.outcome == TransactionOutcome::invalid && !may_be_applied);
    if (is_definite) co_return result;
    if (!co_await Sleep(loop_, retry_delay_s * loop_.uniform(0.5, 1.5), stop_token))
      co_return result;
    retry_delay_s = std::min(retry_delay_s * 2, max_retry_delay_s);
  }
}

Task<GetResult> KeyValueClient::get(std::string key, RequestPriority priority) {
  const auto reply =
      co_await call(Method::get, "/keys/" + key, {}, priority, 0, response_timeout_s);
  GetResult result;
  if (reply.status == 200) result.status = GetStatus::found;
  if (reply.status == 404) result.status = GetStatus::absent;
  auto message = decode_map(reply.body);
  if (result.found()) {
    result.key_value = take_key_value(message, wire::key);
  } else if (message.is_object()) {
    result.key_value.version = number(message, wire::revision);
  }
  result.key_value.key = std::move(key);
  co_return result;
}

Task<RangeResult> KeyValueClient::range(std::string prefix, std::string after,
                                        RequestPriority priority) {
  std::string target = "/keys?starts=" + prefix;
  if (!after.empty()) target += "&since=" + after;
  target += "&limit=" + std::to_string(max_page_keys);
  const auto reply =
      co_await call(Method::get, std::move(target), {}, priority, 0, range_timeout_s);
  RangeResult page;
  if (reply.status != 200) co_return page;
  auto message = decode_map(reply.body);
  if (!message.is_object() || !message.contains(wire::pairs)) co_return page;
  page.status = ReadStatus::ok;
  page.has_more = message.value(wire::more, false);
  page.revision = number(message, wire::revision);
  for (auto& pair : message[wire::pairs])
    page.key_values.push_back(take_key_value(pair, wire::key));
  co_return page;
}

Task<WatchResult> KeyValueClient::watch(std::string prefix, uint64_t after, double wait_s) {
  std::string target = "/watch?starts=" + prefix + "&since=" + std::to_string(after) +
                       "&block_ms=" + std::to_string(static_cast<int>(wait_s * 1000));
  const auto reply = co_await call(Method::get, std::move(target), {}, RequestPriority::watching, 0,
                                   wait_s + response_timeout_s);
  WatchResult result;
  if (reply.status == 410) result.status = ReadStatus::compacted;
  if (reply.status != 200) co_return result;
  auto message = decode_map(reply.body);
  if (!message.is_object() || !message.contains(wire::changes)) co_return result;
  result.status = ReadStatus::ok;
  result.revision = number(message, wire::revision);
  for (auto& change : message[wire::changes]) result.changes.push_back(take_change(change));
  co_return result;
}

Task<std::optional<uint64_t>> KeyValueClient::grant_lease(double ttl_s) {
  Json request = Json::object();
  request[wire::lease_ms] = static_cast<int>(ttl_s * 1000);
  const auto reply = co_await call(Method::post, "/grants", encode(request), RequestPriority::lease,
                                   0, response_timeout_s);
  if (reply.status != 200) co_return std::nullopt;
  const auto message = decode_map(reply.body);
  const uint64_t lease = message.is_object() ? number(message, wire::lease) : 0;
  if (lease == 0) co_return std::nullopt;
  co_return lease;
}

Task<KeyValueClient::Renewal> KeyValueClient::renew_lease(uint64_t lease) {
  const auto reply =
      co_await call(Method::post, "/grants/" + std::to_string(lease) + "/touch",
                    encode(Json::object()), RequestPriority::lease, 0, response_timeout_s);
  if (reply.status == 200) co_return Renewal::renewed;
  co_return reply.status == 404 ? Renewal::ended : Renewal::unknown;
}

Task<void> KeyValueClient::revoke_lease(uint64_t lease) {
  co_await call(Method::del, "/grants/" + std::to_string(lease), {}, RequestPriority::lease, 0,
                response_timeout_s);
}

}  // namespace damsonport
