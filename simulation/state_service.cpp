#include "simulation/state_service.hpp"

#include <algorithm>

namespace damsonport::simulation {

namespace {
constexpr size_t kept_changes = 10000;
constexpr double latest_s = 12, least_late_s = 2;
}  // namespace

StateService::StateService(World& world, const std::string& host, const StateLimits& limits)
    : world_(world),
      limits_(limits),
      requests_(limits.requests_per_s),
      writes_(limits.writes_per_s) {
  world_.serve(host, [this](auto& from, Method method, auto& target, auto& body, auto answer) {
    world_.in(delay_s_ * world_.uniform(0.5, 1.5), [this, from, method, target, body, answer] {
      handle(from, method, target, body, answer);
    });
  });
}

const Json* StateService::value(const std::string& key) const {
  auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : &it->second.first;
}

void StateService::set_down(bool down) {
  down_ = down;
  if (down) {
    for (auto& [id, lease] : leases_) world_.cancel(lease.expiry);
    return;
  }
  for (auto& [id, lease] : leases_) renew(id);
  changed();
}

void StateService::refuse(const std::string& host, bool on) {
  if (on) {
    refused_.insert(host);
  } else {
    refused_.erase(host);
    changed();
  }
}

void StateService::renew(uint64_t id) {
  auto& lease = leases_.at(id);
  world_.cancel(lease.expiry);
  if (!down_) lease.expiry = world_.in(lease.life_s + 0.05, [this, id] { end_lease(id); });
}

void StateService::end_lease(uint64_t id) {
  auto it = leases_.find(id);
  if (it == leases_.end()) return;
  world_.cancel(it->second.expiry);
  leases_.erase(it);
  ++revision_;
  std::vector<std::string> gone;
  for (auto& [key, lease] : lease_of_)
    if (lease == id) gone.push_back(key);
  for (auto& key : gone) remove(key);
  changed();
}

void StateService::put(const std::string& key, const Json& value, uint64_t lease) {
  keys_[key] = {value, revision_};
  lease_of_.erase(key);
  if (lease) lease_of_[key] = lease;
  changes_.push_back({key, value, revision_});
  if (on_change) on_change(key, value);
}

void StateService::write(const std::string& key, const Json& value) {
  ++revision_;
  put(key, value, 0);
  changed();
}

void StateService::remove(const std::string& key) {
  keys_.erase(key);
  lease_of_.erase(key);
  changes_.push_back({key, Json(), revision_});
  if (on_change) on_change(key, Json());
}

void StateService::changed() {
  while (changes_.size() > kept_changes) changes_.pop_front();
  for (auto& w : watches_) w.done = w.done || answer_watch(w, false);
  std::erase_if(watches_, [](auto& w) { return w.done; });
}

bool StateService::answer_watch(Watch& w, bool timed_out) {
  if (down_ || refused_.contains(w.host)) return false;
  Json news = Json::array();
  auto first = std::partition_point(changes_.begin(), changes_.end(),
                                    [&](const Change& c) { return c.revision <= w.since; });
  for (; first != changes_.end(); ++first)
    if (first->key.starts_with(w.prefix)) {
      if (first->value.is_null()) {
        news.push_back({{"remove", first->key}, {"stamp", first->revision}});
      } else {
        news.push_back({{"set", first->key}, {"data", first->value}, {"stamp", first->revision}});
      }
    }
  if (news.empty() && !timed_out) return false;
  w.answer({200, encode({{"ledger", revision_}, {"news", std::move(news)}})});
  return true;
}

bool StateService::over_rate(int writes) {
  const double passed = world_.now() - filled_at_;
  filled_at_ = world_.now();
  requests_ = std::min(limits_.requests_per_s, requests_ + passed * limits_.requests_per_s);
  writes_ = std::min(limits_.writes_per_s, writes_ + passed * limits_.writes_per_s);
  if (requests_ < 1 || writes_ < writes) {
    ++over_rate_;
    return true;
  }
  requests_ -= 1;
  writes_ -= writes;
  return false;
}

void StateService::handle(const std::string& from, Method method, const std::string& target,
                          const std::string& body, const World::Answer& answer) {
  if (down_ || refused_.contains(from)) return answer({503, {}});
  auto query = query_of(target);
  const auto path = target.substr(0, target.find('?'));
  if (path == "/txn") return txn(from, body, answer);
  if (over_rate(0)) return answer({429, {}});
  if (path == "/watch") {
    const uint64_t since = std::stoull(query["since"]);
    if (!changes_.empty() && changes_.front().revision > since + 1 &&
        changes_.size() >= kept_changes)
      return answer({410, {}});
    watches_.push_back({++last_watch_, from, query["starts"], since, answer});
    Watch& w = watches_.back();
    if (answer_watch(w, false)) {
      watches_.pop_back();
      return;
    }
    const double wait = std::stod(query["block_ms"]) / 1000;
    world_.in(wait, [this, id = w.id] {
      for (auto it = watches_.begin(); it != watches_.end(); ++it)
        if (it->id == id) {
          if (answer_watch(*it, true)) watches_.erase(it);
          return;
        }
    });
    return;
  }
  if (path == "/keys") return answer(list(query));
  if (path.starts_with("/keys/")) {
    auto key = path.substr(6);
    auto it = keys_.find(key);
    if (it == keys_.end()) return answer({404, encode({{"ledger", revision_}})});
    return answer({200, encode({{"path", key},
                                {"data", it->second.first},
                                {"stamp", it->second.second},
                                {"permit", lease_of_.contains(key) ? lease_of_[key] : 0}})});
  }
  if (path == "/grants") {
    auto m = decode_map(body);
    const uint64_t id = next_lease_++;
    leases_[id].life_s = m.value("life_ms", 1000) / 1000.0;
    renew(id);
    return answer({200, encode({{"permit", id}})});
  }
  if (path.starts_with("/grants/")) {
    const uint64_t id = std::stoull(path.substr(8));
    if (!leases_.contains(id)) return answer({404, {}});
    if (method == Method::del) {
      end_lease(id);
    } else {
      renew(id);
    }
    return answer({200, encode(Json::object())});
  }
  answer({400, {}});
}

HttpReply StateService::list(const std::map<std::string, std::string>& query) const {
  auto get = [&](const char* name) {
    auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  };
  const auto prefix = get("starts"), since = get("since");
  const size_t limit = get("limit").empty() ? 1000 : std::stoul(get("limit"));
  Json pairs = Json::array();
  bool more = false;
  auto it = since < prefix ? keys_.lower_bound(prefix) : keys_.upper_bound(since);
  for (; it != keys_.end() && it->first.starts_with(prefix); ++it) {
    if (pairs.size() >= limit) {
      more = true;
      break;
    }
    pairs.push_back(
        {{"path", it->first}, {"data", it->second.first}, {"stamp", it->second.second}});
  }
  return {200, encode({{"pairs", std::move(pairs)}, {"more", more}, {"ledger", revision_}})};
}

void StateService::txn(const std::string& from, const std::string& body,
                       const World::Answer& answer) {
  auto m = decode_map(body);
  if (!m.is_object()) return answer({400, {}});
  const int writes = m.contains("writes") ? static_cast<int>(m["writes"].size()) : 0;
  if (over_rate(writes)) return answer({429, {}});
  const bool struck = writes > 0 && (fate_host_.empty() || fate_host_ == from);
  if (struck && fate_ == Fate::applied_late) {
    world_.in(world_.uniform(least_late_s, latest_s), [this, m] { apply(m); });
    return;
  }
  auto reply = apply(m);
  if (struck && fate_ == Fate::answer_lost) return;
  answer(std::move(reply));
}

HttpReply StateService::apply(const Json& m) {
  const Json none = Json::array();
  const Json& writes = m.contains("writes") ? m["writes"] : none;
  const Json& conditions = m.contains("if") ? m["if"] : none;
  HttpReply too_large{400, encode({{"error", "too large"}})};
  if (static_cast<int>(writes.size()) > limits_.txn_writes ||
      static_cast<int>(conditions.size()) > limits_.txn_conditions() ||
      m.dump().size() > size_t{64} * 1024) {
    ++over_size_;
    return too_large;
  }
  for (auto& w : writes) {
    if (!w.contains("set")) continue;
    if (static_cast<double>(w["data"].dump().size()) > limits_.value_bytes()) {
      ++over_size_;
      return too_large;
    }
    if (w.contains("permit") && !leases_.contains(w["permit"].get<uint64_t>()))
      return {400, encode({{"error", "no such lease"}})};
  }
  // Which of several are named is left open: one is enough.
  Json failed = Json::array();
  for (auto& c : conditions) {
    if (!failed.empty()) break;
    const std::string path = c.at("path");
    auto it = keys_.find(path);
    if ((it == keys_.end() ? 0 : it->second.second) != c.at("stamp").get<uint64_t>())
      failed.push_back(path);
  }
  if (!failed.empty()) return {409, encode({{"failed", failed}, {"ledger", revision_}})};
  if (!writes.empty()) ++revision_;
  for (auto& w : writes) {
    if (w.contains("set")) {
      put(w["set"], w["data"], w.contains("permit") ? w["permit"].get<uint64_t>() : 0);
    } else if (keys_.contains(w.at("remove"))) {
      remove(w.at("remove"));
    }
  }
  changed();
  return {200, encode({{"ledger", revision_}})};
}

}  // namespace damsonport::simulation
