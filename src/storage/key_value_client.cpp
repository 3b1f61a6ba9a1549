#include "storage/key_value_client.hpp"

#include <spdlog/spdlog.h>

namespace damsonport {

namespace {
constexpr double answer_timeout_s = 1.5;  // answers are usually there in 10 ms, seldom in 300

uint64_t number(const Json& m, const char* key) {
  auto it = m.find(key);
  return it != m.end() && it->is_number_integer() ? it->get<uint64_t>() : 0;
}

// Takes the value out of the message: copying it was most of the work of reading all records.
KeyValue decode_item(Json& m, const char* key_field) {
  KeyValue key_value;
  if (auto it = m.find(key_field); it != m.end() && it->is_string()) key_value.key = *it;
  if (auto it = m.find("data"); it != m.end()) key_value.value = std::move(*it);
  key_value.version = number(m, "stamp");
  key_value.lease = number(m, "permit");
  return key_value;
}
}  // namespace

KeyValueClient::KeyValueClient(Loop& loop, HttpClient& http, Endpoint endpoint,
                               const StateLimitSettings& limits)
    : loop_(loop), http_(http), endpoint_(std::move(endpoint)), limit_(loop, limits) {}

Task<HttpReply> KeyValueClient::call(Method method, std::string target, std::string body,
                                     RequestPriority importance, int writes, double timeout_s) {
  co_await limit_.take(importance, writes);
  auto reply =
      co_await http_.request(endpoint_, method, std::move(target), std::move(body), timeout_s);
  if (reply.answered() && reply.status != 503) last_contact_ = loop_.now();
  if (reply.status == 429) limit_.refused();
  co_return reply;
}

Task<TransactionResult> KeyValueClient::compare_and_swap(Transaction transaction,
                                                         RequestPriority importance) {
  Json preconditions = Json::array(), writes = Json::array();
  for (auto& [key, version] : transaction.preconditions)
    preconditions.push_back({{"path", key}, {"stamp", version}});
  for (auto& w : transaction.writes) {
    if (w.value.is_null()) {
      writes.push_back({{"remove", w.key}});
    } else {
      Json put = {{"set", w.key}, {"data", std::move(w.value)}};
      if (w.lease) put["permit"] = w.lease;
      writes.push_back(std::move(put));
    }
  }
  int count = static_cast<int>(writes.size());
  Json message = {{"if", std::move(preconditions)}};
  if (count) message["writes"] = std::move(writes);
  std::string body = encode(message);
  message = Json();
  auto reply =
      co_await call(Method::post, "/txn", std::move(body), importance, count, answer_timeout_s);
  TransactionResult out;
  auto m = decode_map(reply.body);
  switch (reply.status) {
    case 200:
      out.outcome = TransactionOutcome::committed;
      out.revision = number(m, "ledger");
      break;
    case 409:
      out.outcome = TransactionOutcome::conflict;
      out.revision = number(m, "ledger");
      if (m.contains("failed") && m["failed"].is_array())
        for (auto& key : m["failed"])
          if (key.is_string()) out.failed.push_back(key);
      break;
    case 429:
    case 503:
      out.outcome = TransactionOutcome::refused;
      break;
    case 400:
      out.outcome = TransactionOutcome::invalid;
      spdlog::warn("the state service refused a transaction as malformed: {}", m.dump());
      break;
    default:
      out.outcome = TransactionOutcome::unknown;
  }
  co_return out;
}

// A transaction with no answer may be applied later, at any time. Repeating the same conditions
// settles it: if a repeat commits, the versions have moved and the first copy can only fail; if a
// repeat conflicts, either the first copy was applied or somebody else changed a key, and either
// way no copy can be applied any more. The caller reads the keys again after a conflict. This
// holds only for transactions that write at least one of the keys they are conditional on.
Task<TransactionResult> KeyValueClient::commit_until_resolved(Transaction transaction,
                                                              RequestPriority importance,
                                                              std::stop_token stop_token) {
  bool is_suspected = false;
  double pause = 0.02;
  for (;;) {
    auto reply = co_await compare_and_swap(transaction, importance);
    if (reply.outcome == TransactionOutcome::unknown) is_suspected = true;
    bool definite = reply.outcome == TransactionOutcome::committed ||
                    reply.outcome == TransactionOutcome::conflict ||
                    (reply.outcome == TransactionOutcome::invalid && !is_suspected);
    if (definite) co_return reply;
    if (!co_await Sleep(loop_, pause * loop_.uniform(0.5, 1.5), stop_token)) co_return reply;
    pause = std::min(pause * 2, 1.0);
  }
}

Task<GetResult> KeyValueClient::get(std::string key, RequestPriority importance) {
  auto reply = co_await call(Method::get, "/keys/" + key, {}, importance, 0, answer_timeout_s);
  GetResult out;
  if (reply.status == 200) out.status = GetStatus::found;
  if (reply.status == 404) out.status = GetStatus::absent;
  if (out.found()) {
    auto m = decode_map(reply.body);
    out.key_value = decode_item(m, "path");
  } else if (auto m = decode_map(reply.body); m.is_object()) {
    out.key_value.version = number(m, "ledger");  // it is absent at this revision
  }
  out.key_value.key = std::move(key);
  co_return out;
}

Task<RangeResult> KeyValueClient::range(std::string prefix, std::string after,
                                        RequestPriority importance) {
  std::string target = "/keys?starts=" + prefix;
  if (!after.empty()) target += "&since=" + after;
  target += "&limit=250";
  auto reply =
      co_await call(Method::get, std::move(target), {}, importance, 0, answer_timeout_s * 2);
  RangeResult out;
  if (reply.status != 200) co_return out;
  auto m = decode_map(reply.body);
  if (!m.is_object() || !m.contains("pairs")) co_return out;
  out.ok = true;
  out.more = m.value("more", false);
  out.revision = number(m, "ledger");
  for (auto& pair : m["pairs"]) out.key_values.push_back(decode_item(pair, "path"));
  co_return out;
}

Task<RangeResult> KeyValueClient::watch(std::string prefix, uint64_t after, double wait_s) {
  std::string target = "/watch?starts=" + prefix + "&since=" + std::to_string(after) +
                       "&block_ms=" + std::to_string(static_cast<int>(wait_s * 1000));
  auto reply = co_await call(Method::get, std::move(target), {}, RequestPriority::watching, 0,
                             wait_s + answer_timeout_s);
  RangeResult out;
  out.too_old = reply.status == 410;
  if (reply.status != 200) co_return out;
  auto m = decode_map(reply.body);
  if (!m.is_object() || !m.contains("news")) co_return out;
  out.ok = true;
  out.revision = number(m, "ledger");
  for (auto& event : m["news"]) {
    bool removed = event.contains("remove");
    out.key_values.push_back(decode_item(event, removed ? "remove" : "set"));
    if (removed) out.key_values.back().value = Json();
  }
  co_return out;
}

Task<uint64_t> KeyValueClient::new_lease(double ttl_s) {
  Json message = Json::object();
  message["life_ms"] = static_cast<int>(ttl_s * 1000);
  auto reply = co_await call(Method::post, "/grants", encode(message), RequestPriority::lease, 0,
                             answer_timeout_s);
  if (reply.status != 200) co_return 0;
  auto m = decode_map(reply.body);
  co_return m.is_object() ? number(m, "permit") : 0;
}

Task<KeyValueClient::Renewal> KeyValueClient::renew(uint64_t lease) {
  auto reply = co_await call(Method::post, "/grants/" + std::to_string(lease) + "/touch",
                             encode(Json::object()), RequestPriority::lease, 0, answer_timeout_s);
  if (reply.status == 200) co_return Renewal::renewed;
  co_return reply.status == 404 ? Renewal::ended : Renewal::unknown;
}

Task<void> KeyValueClient::end(uint64_t lease) {
  co_await call(Method::del, "/grants/" + std::to_string(lease), {}, RequestPriority::lease, 0,
                answer_timeout_s);
}

}  // namespace damsonport
