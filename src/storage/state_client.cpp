#include "storage/state_client.hpp"

#include <spdlog/spdlog.h>

namespace damsonport {

namespace {
constexpr double answer_timeout_s = 1.5;  // answers are usually there in 10 ms, seldom in 300

uint64_t number(const Json& m, const char* key) {
  auto it = m.find(key);
  return it != m.end() && it->is_number_integer() ? it->get<uint64_t>() : 0;
}

// Takes the value out of the message: copying it was most of the work of reading all records.
Item decode_item(Json& m, const char* key_field) {
  Item item;
  if (auto it = m.find(key_field); it != m.end() && it->is_string()) item.key = *it;
  if (auto it = m.find("data"); it != m.end()) item.value = std::move(*it);
  item.version = number(m, "stamp");
  item.lease = number(m, "permit");
  return item;
}
}  // namespace

StateClient::StateClient(Loop& loop, HttpClient& http, Endpoint endpoint,
                         const StateLimitSettings& limits)
    : loop_(loop), http_(http), endpoint_(std::move(endpoint)), limit_(loop, limits) {}

Task<HttpReply> StateClient::call(Method method, std::string target, std::string body,
                                  Importance importance, int writes, double timeout_s) {
  co_await limit_.take(importance, writes);
  auto reply =
      co_await http_.request(endpoint_, method, std::move(target), std::move(body), timeout_s);
  if (reply.answered() && reply.status != 503) last_contact_ = loop_.now();
  if (reply.status == 429) limit_.refused();
  co_return reply;
}

Task<TxnReply> StateClient::commit(Txn txn, Importance importance) {
  Json conditions = Json::array(), writes = Json::array();
  for (auto& [key, version] : txn.conditions)
    conditions.push_back({{"path", key}, {"stamp", version}});
  for (auto& w : txn.writes) {
    if (w.value.is_null()) {
      writes.push_back({{"remove", w.key}});
    } else {
      Json put = {{"set", w.key}, {"data", std::move(w.value)}};
      if (w.lease) put["permit"] = w.lease;
      writes.push_back(std::move(put));
    }
  }
  int count = static_cast<int>(writes.size());
  Json message = {{"if", std::move(conditions)}};
  if (count) message["writes"] = std::move(writes);
  std::string body = encode(message);
  message = Json();
  auto reply =
      co_await call(Method::post, "/txn", std::move(body), importance, count, answer_timeout_s);
  TxnReply out;
  auto m = decode_map(reply.body);
  switch (reply.status) {
    case 200:
      out.outcome = Outcome::committed;
      out.revision = number(m, "ledger");
      break;
    case 409:
      out.outcome = Outcome::conflict;
      out.revision = number(m, "ledger");
      if (m.contains("failed") && m["failed"].is_array())
        for (auto& key : m["failed"])
          if (key.is_string()) out.failed.push_back(key);
      break;
    case 429:
    case 503:
      out.outcome = Outcome::refused;
      break;
    case 400:
      out.outcome = Outcome::invalid;
      spdlog::warn("the state service refused a transaction as malformed: {}", m.dump());
      break;
    default:
      out.outcome = Outcome::unknown;
  }
  co_return out;
}

// A transaction with no answer may be applied later, at any time. Repeating the same conditions
// settles it: if a repeat commits, the versions have moved and the first copy can only fail; if a
// repeat conflicts, either the first copy was applied or somebody else changed a key, and either
// way no copy can be applied any more. The caller reads the keys again after a conflict. This
// holds only for transactions that write at least one of the keys they are conditional on.
Task<TxnReply> StateClient::commit_surely(Txn txn, Importance importance,
                                          std::stop_token stop_token) {
  bool in_doubt = false;
  double pause = 0.02;
  for (;;) {
    auto reply = co_await commit(txn, importance);
    if (reply.outcome == Outcome::unknown) in_doubt = true;
    bool definite = reply.outcome == Outcome::committed || reply.outcome == Outcome::conflict ||
                    (reply.outcome == Outcome::invalid && !in_doubt);
    if (definite) co_return reply;
    if (!co_await Sleep(loop_, pause * loop_.uniform(0.5, 1.5), stop_token)) co_return reply;
    pause = std::min(pause * 2, 1.0);
  }
}

Task<ReadReply> StateClient::read(std::string key, Importance importance) {
  auto reply = co_await call(Method::get, "/keys/" + key, {}, importance, 0, answer_timeout_s);
  ReadReply out;
  out.ok = reply.status == 200 || reply.status == 404;
  out.found = reply.status == 200;
  if (out.found) {
    auto m = decode_map(reply.body);
    out.item = decode_item(m, "path");
  } else if (auto m = decode_map(reply.body); m.is_object()) {
    out.item.version = number(m, "ledger");  // it is absent at this revision
  }
  out.item.key = std::move(key);
  co_return out;
}

Task<ListReply> StateClient::list(std::string prefix, std::string after, Importance importance) {
  std::string target = "/keys?starts=" + prefix;
  if (!after.empty()) target += "&since=" + after;
  target += "&limit=250";
  auto reply =
      co_await call(Method::get, std::move(target), {}, importance, 0, answer_timeout_s * 2);
  ListReply out;
  if (reply.status != 200) co_return out;
  auto m = decode_map(reply.body);
  if (!m.is_object() || !m.contains("pairs")) co_return out;
  out.ok = true;
  out.more = m.value("more", false);
  out.revision = number(m, "ledger");
  for (auto& pair : m["pairs"]) out.items.push_back(decode_item(pair, "path"));
  co_return out;
}

Task<ListReply> StateClient::watch(std::string prefix, uint64_t after, double wait_s) {
  std::string target = "/watch?starts=" + prefix + "&since=" + std::to_string(after) +
                       "&block_ms=" + std::to_string(static_cast<int>(wait_s * 1000));
  auto reply = co_await call(Method::get, std::move(target), {}, Importance::watching, 0,
                             wait_s + answer_timeout_s);
  ListReply out;
  out.too_old = reply.status == 410;
  if (reply.status != 200) co_return out;
  auto m = decode_map(reply.body);
  if (!m.is_object() || !m.contains("news")) co_return out;
  out.ok = true;
  out.revision = number(m, "ledger");
  for (auto& event : m["news"]) {
    bool removed = event.contains("remove");
    out.items.push_back(decode_item(event, removed ? "remove" : "set"));
    if (removed) out.items.back().value = Json();
  }
  co_return out;
}

Task<uint64_t> StateClient::new_lease(double ttl_s) {
  Json message = Json::object();
  message["life_ms"] = static_cast<int>(ttl_s * 1000);
  auto reply = co_await call(Method::post, "/grants", encode(message), Importance::lease, 0,
                             answer_timeout_s);
  if (reply.status != 200) co_return 0;
  auto m = decode_map(reply.body);
  co_return m.is_object() ? number(m, "permit") : 0;
}

Task<StateClient::Renewal> StateClient::renew(uint64_t lease) {
  auto reply = co_await call(Method::post, "/grants/" + std::to_string(lease) + "/touch",
                             encode(Json::object()), Importance::lease, 0, answer_timeout_s);
  if (reply.status == 200) co_return Renewal::renewed;
  co_return reply.status == 404 ? Renewal::ended : Renewal::unknown;
}

Task<void> StateClient::end(uint64_t lease) {
  co_await call(Method::del, "/grants/" + std::to_string(lease), {}, Importance::lease, 0,
                answer_timeout_s);
}

}  // namespace damsonport
