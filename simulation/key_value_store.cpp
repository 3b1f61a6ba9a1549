#include "simulation/key_value_store.hpp"

#include <algorithm>

namespace damsonport::simulation {

namespace {
constexpr size_t max_kept_changes = 10000;
constexpr size_t max_transaction_bytes = size_t{64} * 1024;
constexpr size_t max_key_bytes = 200;
constexpr size_t default_list_limit = 1000;
constexpr double min_late_apply_s = 2;  // bounds of the delay of a transaction that is applied late
constexpr double max_late_apply_s = 12;
constexpr double lease_tolerance_s = 0.05;
constexpr std::string_view record_path = "/keys/";
constexpr std::string_view lease_path = "/grants/";

std::string query_field(const std::map<std::string, std::string>& query, const std::string& name) {
  auto it = query.find(name);
  return it == query.end() ? std::string() : it->second;
}

uint64_t lease_id_of(const Json& write) {
  return write.contains("permit") ? write["permit"].get<uint64_t>() : 0;
}

bool is_key(const Json& value) {
  if (!value.is_string()) return false;
  const auto& key = value.get_ref<const std::string&>();
  return !key.empty() && key.size() <= max_key_bytes && key.find(' ') == std::string::npos;
}

bool is_count(const Json& map, const char* field) {
  return map.contains(field) && map[field].is_number_unsigned();
}

// Whether the value consists only of what the protocol's bodies may have.
bool is_storable(const Json& value) {
  if (value.is_discarded()) return false;
  return !value.is_structured() || std::all_of(value.begin(), value.end(), is_storable);
}

bool is_condition(const Json& condition) {
  return condition.is_object() && condition.contains("path") && is_key(condition["path"]) &&
         is_count(condition, "stamp");
}

bool is_write(const Json& write) {
  if (!write.is_object()) return false;
  if (!write.contains("set")) return write.contains("remove") && is_key(write["remove"]);
  return is_key(write["set"]) && write.contains("data") && is_storable(write["data"]) &&
         (!write.contains("permit") || is_count(write, "permit"));
}

bool is_list_of(const Json& map, const char* field, bool (*is_element)(const Json&)) {
  if (!map.contains(field)) return true;
  return map[field].is_array() && std::all_of(map[field].begin(), map[field].end(), is_element);
}
}  // namespace

bool KeyValueStore::is_well_formed(const Json& transaction) const {
  if (!transaction.is_object() || !is_list_of(transaction, "if", is_condition) ||
      !is_list_of(transaction, "writes", is_write))
    return false;
  if (!transaction.contains("writes")) return true;
  return std::none_of(
      transaction["writes"].begin(), transaction["writes"].end(), [this](const Json& write) {
        return write.contains("set") && malformed_keys_.contains(write["set"].get<std::string>());
      });
}

KeyValueStore::KeyValueStore(World& world, const std::string& host, const StateLimits& limits)
    : world_(world),
      limits_(limits),
      requests_left_(limits.requests_per_s),
      writes_left_(limits.writes_per_s) {
  world_.serve(host, [this](auto& from, Method method, auto& target, auto& body, auto respond) {
    world_.in(delay_s_ * world_.uniform(0.5, 1.5), [this, from, method, target, body, respond] {
      handle(from, method, target, body, respond);
    });
  });
}

void KeyValueStore::set_transaction_fault(TransactionFault fault, std::string host) {
  transaction_fault_ = fault;
  transaction_fault_host_ = std::move(host);
}

const Json* KeyValueStore::value(const std::string& key) const {
  auto it = records_.find(key);
  return it == records_.end() ? nullptr : &it->second.value;
}

void KeyValueStore::set_down(bool down) {
  is_down_ = down;
  if (down) {
    for (auto& [id, lease] : leases_) world_.cancel(lease.expiry);
    return;
  }
  for (auto& [id, lease] : leases_) renew_lease(id);
  respond_to_watches();
}

void KeyValueStore::set_refused(const std::string& host, bool refused) {
  if (refused) {
    refused_hosts_.insert(host);
  } else {
    refused_hosts_.erase(host);
    respond_to_watches();
  }
}

void KeyValueStore::renew_lease(uint64_t id) {
  Lease& lease = leases_.at(id);
  world_.cancel(lease.expiry);
  if (is_down_) return;
  lease.expiry = world_.in(lease.duration_s + lease_tolerance_s, [this, id] { end_lease(id); });
}

void KeyValueStore::end_lease(uint64_t id) {
  auto it = leases_.find(id);
  if (it == leases_.end()) return;
  world_.cancel(it->second.expiry);
  leases_.erase(it);
  ++revision_;
  std::vector<std::string> expired_keys;
  for (auto& [key, lease] : lease_by_key_)
    if (lease == id) expired_keys.push_back(key);
  for (auto& key : expired_keys) remove(key);
  respond_to_watches();
}

void KeyValueStore::put(const std::string& key, const Json& value, uint64_t lease) {
  records_[key] = {value, revision_};
  lease_by_key_.erase(key);
  if (lease) lease_by_key_[key] = lease;
  changes_.push_back({key, value, revision_});
  if (on_change) on_change(key, value);
}

void KeyValueStore::write(const std::string& key, const Json& value) {
  ++revision_;
  put(key, value, 0);
  respond_to_watches();
}

void KeyValueStore::remove(const std::string& key) {
  records_.erase(key);
  lease_by_key_.erase(key);
  changes_.push_back({key, Json(), revision_});
  if (on_change) on_change(key, Json());
}

void KeyValueStore::respond_to_watches() {
  while (changes_.size() > max_kept_changes) changes_.pop_front();
  for (auto& watch : watches_)
    watch.has_response =
        watch.has_response || respond_to_watch(watch, ResponseCondition::only_with_changes);
  std::erase_if(watches_, [](auto& watch) { return watch.has_response; });
}

Json KeyValueStore::changes_for(const Watch& watch) const {
  Json changes = Json::array();
  auto change = std::partition_point(changes_.begin(), changes_.end(),
                                     [&](const Change& c) { return c.revision <= watch.since; });
  for (; change != changes_.end(); ++change) {
    if (!change->key.starts_with(watch.prefix)) continue;
    if (change->value.is_null()) {
      changes.push_back({{"remove", change->key}, {"stamp", change->revision}});
    } else {
      changes.push_back(
          {{"set", change->key}, {"data", change->value}, {"stamp", change->revision}});
    }
  }
  return changes;
}

bool KeyValueStore::respond_to_watch(const Watch& watch, ResponseCondition when) const {
  if (is_down_ || refused_hosts_.contains(watch.host)) return false;
  Json changes = changes_for(watch);
  if (changes.empty() && when == ResponseCondition::only_with_changes) return false;
  watch.respond({200, encode({{"ledger", revision_}, {"news", std::move(changes)}})});
  return true;
}

bool KeyValueStore::try_consume_request(int writes) {
  const double passed_s = world_.now() - rate_counted_at_;
  rate_counted_at_ = world_.now();
  requests_left_ =
      std::min(limits_.requests_per_s, requests_left_ + passed_s * limits_.requests_per_s);
  writes_left_ = std::min(limits_.writes_per_s, writes_left_ + passed_s * limits_.writes_per_s);
  if (requests_left_ < 1 || writes_left_ < writes) {
    ++refused_for_rate_;
    return false;
  }
  requests_left_ -= 1;
  writes_left_ -= writes;
  return true;
}

void KeyValueStore::handle(const std::string& from, Method method, const std::string& target,
                           const std::string& body, const World::ResponseHandler& respond) {
  if (is_down_ || refused_hosts_.contains(from)) return respond({503, {}});
  const auto path = target.substr(0, target.find('?'));
  if (path == "/txn") return transact(from, body, respond);
  if (!try_consume_request(0)) return respond({429, {}});
  const auto query = query_of(target);
  if (path == "/watch") return watch(from, query, respond);
  if (path == "/keys") return respond(list(query));
  if (path.starts_with(record_path)) return respond(get(path.substr(record_path.size())));
  if (path == "/grants") return respond(grant_lease(decode_map(body)));
  if (path.starts_with(lease_path))
    return respond(change_lease(method, std::stoull(path.substr(lease_path.size()))));
  respond({400, {}});
}

HttpClientResponse KeyValueStore::get(const std::string& key) const {
  auto record = records_.find(key);
  if (record == records_.end()) return {404, encode({{"ledger", revision_}})};
  auto lease = lease_by_key_.find(key);
  return {200, encode({{"path", key},
                       {"data", record->second.value},
                       {"stamp", record->second.revision},
                       {"permit", lease == lease_by_key_.end() ? 0 : lease->second}})};
}

HttpClientResponse KeyValueStore::list(const Query& query) const {
  const auto prefix = query_field(query, "starts");
  const auto since = query_field(query, "since");
  const auto limit_text = query_field(query, "limit");
  const size_t limit = limit_text.empty() ? default_list_limit : std::stoul(limit_text);
  Json pairs = Json::array();
  bool more = false;
  auto it = since < prefix ? records_.lower_bound(prefix) : records_.upper_bound(since);
  for (; it != records_.end() && it->first.starts_with(prefix); ++it) {
    more = pairs.size() >= limit;
    if (more) break;
    pairs.push_back(
        {{"path", it->first}, {"data", it->second.value}, {"stamp", it->second.revision}});
  }
  return {200, encode({{"pairs", std::move(pairs)}, {"more", more}, {"ledger", revision_}})};
}

void KeyValueStore::watch(const std::string& from, const Query& query,
                          const World::ResponseHandler& respond) {
  const uint64_t since = std::stoull(query.at("since"));
  const bool misses_changes =
      changes_.size() >= max_kept_changes && changes_.front().revision > since + 1;
  if (misses_changes) return respond({410, {}});
  const Watch watch{++last_watch_id_, from, query_field(query, "starts"), since, respond};
  if (respond_to_watch(watch, ResponseCondition::only_with_changes)) return;
  watches_.push_back(watch);
  const double wait_s = std::stod(query.at("block_ms")) / 1000;
  world_.in(wait_s, [this, id = watch.id] { on_watch_timeout(id); });
}

void KeyValueStore::on_watch_timeout(uint64_t id) {
  auto it =
      std::find_if(watches_.begin(), watches_.end(), [id](auto& watch) { return watch.id == id; });
  if (it != watches_.end() && respond_to_watch(*it, ResponseCondition::always)) watches_.erase(it);
}

HttpClientResponse KeyValueStore::grant_lease(const Json& request) {
  if (!request.is_object() || !is_count(request, "life_ms")) return {400, {}};
  const uint64_t id = next_lease_id_++;
  leases_[id].duration_s = request["life_ms"].get<double>() / 1000.0;
  renew_lease(id);
  return {200, encode({{"permit", id}})};
}

HttpClientResponse KeyValueStore::change_lease(Method method, uint64_t id) {
  if (!leases_.contains(id)) return {404, {}};
  if (method == Method::del) {
    end_lease(id);
  } else {
    renew_lease(id);
  }
  return {200, encode(Json::object())};
}

void KeyValueStore::transact(const std::string& from, const std::string& body,
                             const World::ResponseHandler& respond) {
  const Json transaction = decode_map(body);
  if (!is_well_formed(transaction)) {
    ++refused_as_malformed_;
    return respond({400, encode({{"error", "malformed"}})});
  }
  const int writes =
      transaction.contains("writes") ? static_cast<int>(transaction["writes"].size()) : 0;
  if (!try_consume_request(writes)) return respond({429, {}});
  const bool is_affected =
      writes > 0 && (transaction_fault_host_.empty() || transaction_fault_host_ == from);
  if (is_affected && transaction_fault_ == TransactionFault::applied_late) {
    world_.in(world_.uniform(min_late_apply_s, max_late_apply_s),
              [this, transaction] { apply(transaction); });
    return;
  }
  auto reply = apply(transaction);
  if (is_affected && transaction_fault_ == TransactionFault::response_lost) return;
  respond(std::move(reply));
}

HttpClientResponse KeyValueStore::refuse_for_size() {
  ++refused_for_size_;
  return {400, encode({{"error", "too large"}})};
}

bool KeyValueStore::exceeds_limits(const Json& transaction, const Json& conditions,
                                   const Json& writes) const {
  return static_cast<int>(writes.size()) > limits_.txn_writes ||
         static_cast<int>(conditions.size()) > limits_.txn_conditions() ||
         transaction.dump().size() > max_transaction_bytes;
}

std::optional<HttpClientResponse> KeyValueStore::check_write(const Json& write) {
  if (!write.contains("set")) return std::nullopt;
  if (static_cast<double>(write["data"].dump().size()) > limits_.value_bytes())
    return refuse_for_size();
  if (write.contains("permit") && !leases_.contains(lease_id_of(write)))
    return HttpClientResponse{400, encode({{"error", "no such lease"}})};
  return std::nullopt;
}

// The protocol doesn't define which of several failed conditions a response names, so the first one
// suffices.
Json KeyValueStore::failed_conditions(const Json& conditions) const {
  Json failed = Json::array();
  for (auto& condition : conditions) {
    const std::string key = condition.at("path");
    auto record = records_.find(key);
    const uint64_t revision = record == records_.end() ? 0 : record->second.revision;
    if (revision == condition.at("stamp").get<uint64_t>()) continue;
    failed.push_back(key);
    break;
  }
  return failed;
}

void KeyValueStore::apply_writes(const Json& writes) {
  if (!writes.empty()) ++revision_;
  for (auto& write : writes) {
    if (write.contains("set")) {
      put(write["set"], write["data"], lease_id_of(write));
    } else if (records_.contains(write.at("remove"))) {
      remove(write.at("remove"));
    }
  }
  respond_to_watches();
}

HttpClientResponse KeyValueStore::apply(const Json& transaction) {
  const Json none = Json::array();
  const Json& writes = transaction.contains("writes") ? transaction["writes"] : none;
  const Json& conditions = transaction.contains("if") ? transaction["if"] : none;
  if (exceeds_limits(transaction, conditions, writes)) return refuse_for_size();
  for (auto& write : writes)
    if (auto refusal = check_write(write)) return *refusal;
  const Json failed = failed_conditions(conditions);
  if (!failed.empty()) return {409, encode({{"failed", failed}, {"ledger", revision_}})};
  apply_writes(writes);
  return {200, encode({{"ledger", revision_}})};
}

}  // namespace damsonport::simulation
