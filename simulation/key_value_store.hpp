/// Simulates the key-value store that holds the controllers' records. The simulation follows the
/// protocol and shares no code with the controllers' client.
#pragma once
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "config/state_limits.hpp"
#include "protocol/messages.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

/// A map from keys to JSON values with revisions, watches, leases and compare-and-swap
/// transactions. Scenarios inject faults into it. Runs on the world's single thread.
class KeyValueStore {
 public:
  /// Starts to serve at `host`.
  KeyValueStore(World& world, const std::string& host, const StateLimits& limits);

  // --- faults

  /// Puts new limits in force. Stored values that exceed them stay readable.
  void set_limits(const StateLimits& limits) { limits_ = limits; }
  /// Starts or ends an outage. During an outage every request gets a 503 response, open watches get
  /// none, and leases don't expire. At its end each lease starts anew with its full duration.
  void set_down(bool down);
  /// Starts or ends the refusal of one host: its requests get 503 responses, and its watches get no
  /// response.
  void set_refused(const std::string& host, bool refused);
  /// A fault of transactions that write. They are applied after a delay and get no response, or
  /// they are applied at once and the response is lost.
  enum class TransactionFault : uint8_t { none, applied_late, response_lost };
  /// Sets the fault of transactions from `host`, or from all hosts if `host` is empty.
  void set_transaction_fault(TransactionFault fault, std::string host);
  /// From now on a transaction that writes this key gets the response of a malformed one.
  void take_for_malformed(const std::string& key) { malformed_keys_.insert(key); }
  /// Sets the mean time, in seconds, between the arrival of a request and its execution.
  void set_delay(double seconds) { delay_s_ = seconds; }

  // --- contents

  /// A stored value.
  struct Record {
    Json value;
    uint64_t revision = 0;  // of the last change
  };
  /// Adds a record that existed before the start of the scenario. Neither watches nor `on_change`
  /// report it.
  void store(const std::string& key, Json value) { records_[key] = {std::move(value), revision_}; }
  /// Adds or changes a record as a client's write would.
  void write(const std::string& key, const Json& value);
  /// Returns the value of a record, or null if there is no such record. The pointer is valid until
  /// the next change.
  const Json* value(const std::string& key) const;
  /// All records, by key.
  const std::map<std::string, Record>& all() const { return records_; }
  /// Called for each change. The value is null if the record was removed.
  std::function<void(const std::string& key, const Json& value)> on_change;
  /// The number of requests refused because of the rate limits, and because of the limits on sizes.
  size_t refused_for_rate() const { return refused_for_rate_; }
  size_t refused_for_size() const { return refused_for_size_; }
  /// The number of transactions refused as malformed.
  size_t refused_as_malformed() const { return refused_as_malformed_; }

 private:
  using Query = std::map<std::string, std::string>;
  struct Watch {
    uint64_t id;
    std::string host;
    std::string prefix;
    uint64_t since;  // the last revision that the client has seen
    World::ResponseHandler respond;
    bool has_response = false;
  };
  struct Lease {
    double duration_s = 0;
    World::EventId expiry;
  };
  struct Change {
    std::string key;
    Json value;  // null: the record was removed
    uint64_t revision;
  };

  // --- requests
  void handle(const std::string& from, Method method, const std::string& target,
              const std::string& body, const World::ResponseHandler& respond);
  HttpClientResponse get(const std::string& key) const;
  HttpClientResponse list(const Query& query) const;
  void watch(const std::string& from, const Query& query, const World::ResponseHandler& respond);
  void on_watch_timeout(uint64_t id);
  HttpClientResponse grant_lease(const Json& request);
  HttpClientResponse change_lease(Method method, uint64_t id);
  void transact(const std::string& from, const std::string& body,
                const World::ResponseHandler& respond);
  /// Whether the transaction has the form that the protocol describes.
  bool is_well_formed(const Json& transaction) const;
  HttpClientResponse apply(const Json& transaction);
  bool exceeds_limits(const Json& transaction, const Json& conditions, const Json& writes) const;
  /// Returns an error response, or nothing if the write is allowed.
  std::optional<HttpClientResponse> check_write(const Json& write);
  HttpClientResponse refuse_for_size();
  Json failed_conditions(const Json& conditions) const;
  void apply_writes(const Json& writes);

  // --- records, leases and watches
  void put(const std::string& key, const Json& value, uint64_t lease);
  void remove(const std::string& key);
  /// Responds to the watches that have new changes.
  void respond_to_watches();
  Json changes_for(const Watch& watch) const;
  enum class ResponseCondition : uint8_t { only_with_changes, always };
  /// Returns false if the watch gets no response yet.
  bool respond_to_watch(const Watch& watch, ResponseCondition when) const;
  void end_lease(uint64_t id);
  void renew_lease(uint64_t id);
  /// Deducts one request with `writes` writes from the rate limits. Returns false if a limit is
  /// exhausted.
  bool try_consume_request(int writes);

  World& world_;
  StateLimits limits_;
  bool is_down_ = false;
  std::set<std::string> refused_hosts_;
  TransactionFault transaction_fault_ = TransactionFault::none;
  std::string transaction_fault_host_;
  double delay_s_ = 0.004;
  std::map<std::string, Record> records_;
  std::map<std::string, uint64_t> lease_by_key_;
  std::map<uint64_t, Lease> leases_;
  std::deque<Change> changes_;  // the newest changes, oldest first, for watches
  uint64_t revision_ = 100;
  uint64_t next_lease_id_ = 1;
  std::list<Watch> watches_;
  uint64_t last_watch_id_ = 0;
  double requests_left_;
  double writes_left_;
  double rate_counted_at_ = 0;
  size_t refused_for_rate_ = 0;
  size_t refused_for_size_ = 0;
  size_t refused_as_malformed_ = 0;
  std::set<std::string> malformed_keys_;
};

}  // namespace damsonport::simulation
