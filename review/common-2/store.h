// Stand-in of the state service (PROTOCOL, "Controller nodes -> state service"). Each controller
// gets a port of its own, so that a test can treat one controller's requests differently.
#pragma once
#include <condition_variable>
#include <deque>
#include <memory>

#include "net.h"

namespace standin {

class Store {
 public:
  Store(int controllers, size_t txn_ops, double value_kb) : txn_ops_(txn_ops), value_kb_(value_kb) {
    for (int i = 0; i < controllers; ++i)
      servers_.push_back(std::make_unique<Server>([this, i](const Request& r) { return handle(i, r); }));
    std::thread([this] {
      for (;;) {
        sleep_s(0.02);
        std::lock_guard l(m_);
        if (!down_) expire();
      }
    }).detach();
  }
  std::string address(int controller) const { return servers_[static_cast<size_t>(controller)]->address(); }

  // Called with the lock held, before a transaction of a controller is executed. Returns how the
  // transaction is treated; `late_s`: carried out that much later, without an answer.
  enum class Treatment { normal, lose_answer, late, refuse };
  std::function<Treatment(int controller, const Json& txn, double& late_s)> on_txn;
  // An outage for all controllers.
  void set_down(bool down) {
    std::lock_guard l(m_);
    if (down_ && !down)
      for (auto& [id, lease] : leases_) lease.until = now() + lease.ttl;  // full time again
    down_ = down;
    cv_.notify_all();
  }
  // Refuses one controller with 503.
  void set_refused(int controller, bool refused) {
    std::lock_guard l(m_);
    if (refused) refused_.insert({controller, true});
    else refused_.erase(controller);
    cv_.notify_all();
  }
  Json value(const std::string& key) {
    std::lock_guard l(m_);
    auto it = keys_.find(key);
    return it == keys_.end() ? Json() : it->second.data;
  }
  // Names of the controllers by the record `d/b` (the shard leader) — for choosing whom to disturb.
  Json shard_table() { return value("d/b"); }
  size_t size() {
    std::lock_guard l(m_);
    return keys_.size();
  }
  std::vector<std::string> keys_with(const std::string& prefix) {
    std::lock_guard l(m_);
    std::vector<std::string> out;
    for (auto it = keys_.lower_bound(prefix); it != keys_.end() && it->first.starts_with(prefix); ++it)
      out.push_back(it->first);
    return out;
  }

 private:
  struct Entry {
    Json data;
    uint64_t stamp = 0, permit = 0;
  };
  struct Lease {
    double ttl, until;
  };
  struct Change {
    std::string key;
    Json data;  // null: removed
    uint64_t stamp;
  };
  static std::map<std::string, std::string> parse(const std::string& q) {
    std::map<std::string, std::string> out;
    size_t at = 0;
    while (at < q.size()) {
      size_t end = q.find('&', at);
      if (end == std::string::npos) end = q.size();
      std::string item = q.substr(at, end - at);
      size_t eq = item.find('=');
      if (eq != std::string::npos) out[item.substr(0, eq)] = item.substr(eq + 1);
      at = end + 1;
    }
    return out;
  }
  bool refuses(int controller) const { return down_ || refused_.contains(controller); }
  void expire() {
    std::vector<uint64_t> ended;
    for (auto& [id, lease] : leases_)
      if (now() > lease.until) ended.push_back(id);
    for (auto id : ended) end_lease(id);
  }
  void end_lease(uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> gone;
    for (auto& [k, e] : keys_)
      if (e.permit == id) gone.push_back(k);
    if (gone.empty()) return;
    ++ledger_;
    for (auto& k : gone) {
      keys_.erase(k);
      log({k, Json(), ledger_});
    }
    cv_.notify_all();
  }
  void log(Change c) {
    changes_.push_back(std::move(c));
    if (changes_.size() > 10000) changes_.pop_front();
  }
  Reply handle(int who, const Request& r) {
    std::unique_lock l(m_);
    if (r.path == "/watch") return watch(who, r, l);
    if (refuses(who)) return {503, Json::object(), {}};
    expire();
    if (r.method == "POST" && r.path == "/txn") {
      Json txn = from_cbor(r.body);
      if (!txn.is_object()) return {400, Json::object(), {}};
      double late_s = 0;
      auto t = on_txn ? on_txn(who, txn, late_s) : Treatment::normal;
      if (t == Treatment::refuse) return {503, Json::object(), {}};
      if (t == Treatment::late) {
        std::thread([this, txn, late_s] {
          sleep_s(late_s);
          std::lock_guard g(m_);
          if (!down_) apply(txn);
        }).detach();
        l.unlock();
        sleep_s(late_s + 5);
        return {0, Json(), {}};
      }
      Reply reply = apply(txn);
      if (t == Treatment::lose_answer) {
        l.unlock();
        sleep_s(6);
        return {0, Json(), {}};
      }
      return reply;
    }
    if (r.method == "GET" && r.path == "/keys") return range(r);
    if (r.method == "GET" && r.path.starts_with("/keys/")) {
      auto it = keys_.find(r.path.substr(6));
      if (it == keys_.end()) return {404, {{"ledger", ledger_}}, {}};
      Json out = {{"path", it->first}, {"data", it->second.data}, {"stamp", it->second.stamp}};
      if (it->second.permit) out["permit"] = it->second.permit;
      return {200, out, {}};
    }
    if (r.method == "POST" && r.path == "/grants") {
      Json b = from_cbor(r.body);
      double ttl = b.value("life_ms", 0.0) / 1000;
      if (ttl < 0.1 || ttl > 600) return {400, Json::object(), {}};
      uint64_t id = ++last_lease_;
      leases_[id] = {ttl, now() + ttl};
      return {200, {{"permit", id}}, {}};
    }
    if (r.path.starts_with("/grants/")) {
      uint64_t id = std::stoull(r.path.substr(8));
      if (!leases_.contains(id)) return {404, Json::object(), {}};
      if (r.method == "DELETE") {
        end_lease(id);
        return {200, Json::object(), {}};
      }
      leases_[id].until = now() + leases_[id].ttl;
      return {200, {{"permit", id}}, {}};
    }
    return {400, Json::object(), {}};
  }
  Reply range(const Request& r) {
    auto q = parse(r.query);
    size_t limit = q.contains("limit") ? std::stoul(q["limit"]) : 1000;
    limit = std::min<size_t>(limit, 1000);
    const std::string starts = q["starts"], since = q["since"];
    Json pairs = Json::array();
    bool more = false;
    for (auto it = keys_.lower_bound(starts); it != keys_.end() && it->first.starts_with(starts); ++it) {
      if (!since.empty() && it->first <= since) continue;
      if (pairs.size() == limit) {
        more = true;
        break;
      }
      pairs.push_back({{"path", it->first}, {"data", it->second.data}, {"stamp", it->second.stamp}});
    }
    return {200, {{"pairs", pairs}, {"more", more}, {"ledger", ledger_}}, {}};
  }
  Reply apply(const Json& txn) {
    const Json conds = txn.value("if", Json::array());
    const Json writes = txn.value("writes", Json::array());
    if (writes.size() > txn_ops_ || conds.size() > 4 * txn_ops_ || txn.dump().size() > 65536)
      return {400, {{"error", "too large"}}, {}};
    for (auto& w : writes)
      if (w.contains("set") && w["data"].dump().size() > value_kb_ * 1024)
        return {400, {{"error", "value too large"}}, {}};
    for (auto& w : writes)
      if (w.contains("permit") && w["permit"].is_number() && w["permit"] != 0 &&
          !leases_.contains(w["permit"].get<uint64_t>()))
        return {400, {{"error", "no such lease"}}, {}};
    Json failed = Json::array();
    for (auto& c : conds) {
      auto it = keys_.find(c["path"].get<std::string>());
      uint64_t stamp = it == keys_.end() ? 0 : it->second.stamp;
      if (stamp != c["stamp"].get<uint64_t>()) failed.push_back(c["path"]);
    }
    if (!failed.empty()) return {409, {{"failed", failed}, {"ledger", ledger_}}, {}};
    if (!writes.empty()) {
      ++ledger_;
      for (auto& w : writes) {
        if (w.contains("set")) {
          Entry e{w["data"], ledger_, w.value("permit", uint64_t{0})};
          keys_[w["set"].get<std::string>()] = e;
          log({w["set"].get<std::string>(), w["data"], ledger_});
        } else {
          std::string k = w["remove"].get<std::string>();
          if (keys_.erase(k)) log({k, Json(), ledger_});
        }
      }
      cv_.notify_all();
    }
    return {200, {{"ledger", ledger_}}, {}};
  }
  Reply watch(int who, const Request& r, std::unique_lock<std::mutex>& l) {
    auto q = parse(r.query);
    const std::string starts = q["starts"];
    const uint64_t since = std::stoull(q["since"]);
    double until = now() + (q.contains("block_ms") ? std::stod(q["block_ms"]) / 1000 : 0);
    if (refuses(who)) return {503, Json::object(), {}};
    for (;;) {
      if (!refuses(who)) {
        if (!changes_.empty() && changes_.size() == 10000 && changes_.front().stamp > since + 1)
          return {410, Json::object(), {}};
        std::map<std::string, const Change*> last;
        std::vector<const Change*> news;
        for (auto& c : changes_)
          if (c.stamp > since && c.key.starts_with(starts)) news.push_back(&c);
        if (!news.empty() || now() >= until) {
          Json out = Json::array();
          for (auto* c : news) {
            if (c->data.is_null()) out.push_back({{"remove", c->key}, {"stamp", c->stamp}});
            else out.push_back({{"set", c->key}, {"data", c->data}, {"stamp", c->stamp}});
          }
          return {200, {{"ledger", ledger_}, {"news", out}}, {}};
        }
      } else if (now() >= until + 30) {
        return {0, Json(), {}};
      }
      cv_.wait_for(l, std::chrono::milliseconds(50));
    }
  }
  size_t txn_ops_;
  double value_kb_;
  std::mutex m_;
  std::condition_variable cv_;
  std::map<std::string, Entry> keys_;
  std::map<uint64_t, Lease> leases_;
  std::deque<Change> changes_;
  std::map<int, bool> refused_;
  bool down_ = false;
  uint64_t ledger_ = 100, last_lease_ = 6;
  std::vector<std::unique_ptr<Server>> servers_;
};

}  // namespace standin
