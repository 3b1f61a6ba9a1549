// Stand-in for the state service: keys, transactions, leases ("grants") and watches as the protocol
// page describes them. One server port for each controller, so that links can differ.
#pragma once
#include <deque>
#include <map>
#include <optional>

#include "base.h"

namespace standin {

class Store {
 public:
  // A transaction as a controller has sent it.
  struct Transaction {
    size_t controller;
    Json body;
    bool writes(const std::string& key) const {
      if (body.contains("writes"))
        for (auto& write : body["writes"])
          if (write.value("set", "") == key || write.value("remove", "") == key) return true;
      return false;
    }
  };

  // `links`: one for each controller.
  explicit Store(std::vector<Link*> links) {
    for (size_t i = 0; i < links.size(); ++i)
      servers_.push_back(std::make_unique<Server>(
          [this, i](const Request& request) { return handle(i, request); }, links[i]));
    std::thread([this] { expire_leases(); }).detach();
  }
  int port(size_t controller) const { return servers_[controller]->port; }

  // Called before each transaction is executed, without the store's lock. If it returns a response,
  // the transaction is not executed, and that response is sent (status 0: none).
  std::function<std::optional<Response>(const Transaction&)> before_transaction;

  Response execute(const Json& transaction) {
    std::lock_guard lock(mutex_);
    return apply(transaction);
  }

 private:
  // Answers "usually take under 10 ms"; transactions are answered at once.
  static constexpr double watch_answer_s = 0.008;

  struct Entry {
    Json value;
    uint64_t stamp = 0, permit = 0;
  };
  struct Change {
    std::string key;
    Json value;  // null: removed
    uint64_t stamp = 0;
  };
  struct Lease {
    double life_s, ends_at;
  };

  static std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> out;
    auto at = target.find('?');
    while (at != std::string::npos) {
      const auto end = target.find('&', at + 1);
      const auto item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      const auto equals = item.find('=');
      if (equals != std::string::npos) out[item.substr(0, equals)] = item.substr(equals + 1);
      at = end;
    }
    return out;
  }

  Response handle(size_t controller, const Request& request) {
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto query = query_of(request.target);
    if (path == "/watch") return watch(query);
    if (path == "/txn") {
      const Transaction transaction{controller, decode(request.body)};
      if (before_transaction)
        if (auto response = before_transaction(transaction)) return *response;
      return execute(transaction.body);
    }
    std::lock_guard lock(mutex_);
    if (path == "/keys") return list(query);
    if (path.rfind("/keys/", 0) == 0) return get(path.substr(6));
    if (path == "/grants") {
      const double life_s = decode(request.body).value("life_ms", 0) / 1000.0;
      const uint64_t id = next_lease_++;
      leases_[id] = {life_s, now() + life_s};
      return {200, encode({{"permit", id}})};
    }
    if (path.rfind("/grants/", 0) == 0) {
      const uint64_t id = std::strtoull(path.c_str() + 8, nullptr, 10);
      auto lease = leases_.find(id);
      if (lease == leases_.end()) return {404, encode(Json::object())};
      if (request.method == "DELETE") {
        end_lease(id);
      } else {
        lease->second.ends_at = now() + lease->second.life_s;
      }
      return {200, encode({{"permit", id}})};
    }
    return {400, {}};
  }

  Response get(const std::string& key) {
    auto entry = entries_.find(key);
    if (entry == entries_.end()) return {404, encode({{"ledger", ledger_}})};
    return {200, encode({{"path", key},
                         {"data", entry->second.value},
                         {"stamp", entry->second.stamp},
                         {"permit", entry->second.permit}})};
  }

  Response list(std::map<std::string, std::string> query) {
    const auto prefix = query["starts"];
    const size_t limit = query.count("limit") ? std::stoul(query["limit"]) : 1000;
    Json pairs = Json::array();
    bool more = false;
    for (auto& [key, entry] : entries_) {
      if (key.rfind(prefix, 0) != 0 || key <= query["since"]) continue;
      if (pairs.size() == std::min<size_t>(limit, 1000)) {
        more = true;
        break;
      }
      pairs.push_back({{"path", key}, {"data", entry.value}, {"stamp", entry.stamp}});
    }
    return {200, encode({{"pairs", pairs}, {"more", more}, {"ledger", ledger_}})};
  }

  Response watch(std::map<std::string, std::string> query) {
    const auto prefix = query["starts"];
    const uint64_t since = std::strtoull(query["since"].c_str(), nullptr, 10);
    const double wait_s = std::atof(query["block_ms"].c_str()) / 1000;
    Json news = Json::array();
    uint64_t ledger = 0;
    {
      std::unique_lock lock(mutex_);
      auto collect = [&] {
        for (auto& change : changes_)
          if (change.stamp > since && change.key.rfind(prefix, 0) == 0) {
            if (change.value.is_null()) {
              news.push_back({{"remove", change.key}, {"stamp", change.stamp}});
            } else {
              news.push_back(
                  {{"set", change.key}, {"data", change.value}, {"stamp", change.stamp}});
            }
          }
        return !news.empty();
      };
      changed_.wait_for(lock, std::chrono::duration<double>(wait_s), collect);
      ledger = ledger_;
    }
    sleep_s(watch_answer_s);
    return {200, encode({{"ledger", ledger}, {"news", news}})};
  }

  Response apply(const Json& transaction) {
    Json failed = Json::array();
    if (transaction.contains("if"))
      for (auto& condition : transaction["if"]) {
        auto entry = entries_.find(condition["path"].get<std::string>());
        const uint64_t stamp = entry == entries_.end() ? 0 : entry->second.stamp;
        if (stamp != condition["stamp"].get<uint64_t>()) failed.push_back(condition["path"]);
      }
    const Json writes = transaction.value("writes", Json::array());
    for (auto& write : writes)
      if (write.contains("permit") && !leases_.count(write["permit"].get<uint64_t>()))
        return {400, encode({{"error", "no such lease"}})};
    if (!failed.empty()) return {409, encode({{"failed", failed}, {"ledger", ledger_}})};
    if (!writes.empty()) ++ledger_;
    for (auto& write : writes) {
      if (write.contains("remove")) {
        remove(write["remove"].get<std::string>());
        continue;
      }
      const auto key = write["set"].get<std::string>();
      entries_[key] = {write["data"], ledger_, write.value("permit", uint64_t{0})};
      changes_.push_back({key, write["data"], ledger_});
    }
    changed_.notify_all();
    return {200, encode({{"ledger", ledger_}})};
  }

  // The caller has increased the ledger.
  void remove(const std::string& key) {
    if (entries_.erase(key)) changes_.push_back({key, nullptr, ledger_});
  }

  void end_lease(uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (auto& [key, entry] : entries_)
      if (entry.permit == id) keys.push_back(key);
    if (!keys.empty()) ++ledger_;
    for (auto& key : keys) remove(key);
    changed_.notify_all();
  }

  void expire_leases() {
    for (;; sleep_s(0.02)) {
      std::lock_guard lock(mutex_);
      std::vector<uint64_t> ended;
      for (auto& [id, lease] : leases_)
        if (lease.ends_at < now()) ended.push_back(id);
      for (auto id : ended) end_lease(id);
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::deque<Change> changes_;
  std::map<uint64_t, Lease> leases_;
  uint64_t ledger_ = 100, next_lease_ = 1;
  std::vector<std::unique_ptr<Server>> servers_;
};

}  // namespace standin
