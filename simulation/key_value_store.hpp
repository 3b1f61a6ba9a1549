/// Stand-in of the key-value store that controllers keep their records in. Written from the
/// protocol, not from the controllers.
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

/// A map from keys to JSON values with revisions, watches, leases, and transactions that compare
/// and swap; and the faults that a scenario wants of it. Runs on the world's single thread.
class KeyValueStore {
 public:
  /// Serves at this host of the world from now on.
  KeyValueStore(World& world, const std::string& host, const StateLimits& limits);

  // --- faults

  /// In force from now on; larger values that are stored stay readable.
  void set_limits(const StateLimits& limits) { limits_ = limits; }
  /// During an outage every request gets a 503 and open watches wait; afterwards leases get their
  /// full time.
  void set_down(bool down);
  /// One host alone gets a 503, and its watches wait.
  void set_refused(const std::string& host, bool refused);
  /// What becomes of transactions that write: carried out late and without an answer, or at once
  /// with the answer lost.
  enum class TransactionFault : uint8_t { none, applied_late, response_lost };
  /// `host`: whose transactions; empty: those of all.
  void set_transaction_fault(TransactionFault fault, std::string host);
  /// Mean time until a request is carried out.
  void set_delay(double seconds) { delay_s_ = seconds; }

  // --- contents

  struct Record {
    Json value;
    uint64_t revision = 0;  // of its last change
  };
  /// Adds a record as if it had been written before the beginning: no watch and no observer gets
  /// it.
  void store(const std::string& key, Json value) { records_[key] = {std::move(value), revision_}; }
  /// Adds or changes a record as if a client wrote it now.
  void write(const std::string& key, const Json& value);
  /// Null: there is no such record. Valid until the next change.
  const Json* value(const std::string& key) const;
  const std::map<std::string, Record>& all() const { return records_; }
  /// Called for each change; a removed record has a null value.
  std::function<void(const std::string& key, const Json& value)> on_change;
  size_t refused_for_rate() const { return refused_for_rate_; }
  size_t refused_for_size() const { return refused_for_size_; }

 private:
  using Query = std::map<std::string, std::string>;
  struct Watch {
    uint64_t id;
    std::string host;
    std::string prefix;
    uint64_t since;  // the last revision that its client knows
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
  HttpReply get(const std::string& key) const;
  HttpReply list(const Query& query) const;
  void watch(const std::string& from, const Query& query, const World::ResponseHandler& respond);
  void on_watch_timeout(uint64_t id);
  HttpReply grant_lease(const Json& request);
  HttpReply change_lease(Method method, uint64_t id);
  void transact(const std::string& from, const std::string& body,
                const World::ResponseHandler& respond);
  HttpReply apply(const Json& transaction);
  bool exceeds_limits(const Json& transaction, const Json& conditions, const Json& writes) const;
  /// Empty: the write is allowed, if the conditions hold.
  std::optional<HttpReply> check_write(const Json& write);
  HttpReply refuse_for_size();
  Json failed_conditions(const Json& conditions) const;
  void apply_writes(const Json& writes);

  // --- records, leases and watches
  void put(const std::string& key, const Json& value, uint64_t lease);
  void remove(const std::string& key);
  /// Answers the watches after changes.
  void respond_to_watches();
  Json changes_for(const Watch& watch) const;
  enum class ResponseCondition : uint8_t { only_with_changes, always };
  /// False: the watch goes on waiting.
  bool respond_to_watch(const Watch& watch, ResponseCondition when) const;
  void end_lease(uint64_t id);
  void renew_lease(uint64_t id);
  /// Takes a request with so many writes from the rate limits; false: a limit is reached.
  bool try_consume_request(int writes);

  World& world_;
  StateLimits limits_;
  bool is_down_ = false;
  std::set<std::string> refused_hosts_;
  TransactionFault transaction_fault_ = TransactionFault::none;
  std::string transaction_fault_host_;
  double delay_s_ = 0.004;
  std::map<std::string, Record> records_;
  std::map<std::string, uint64_t> lease_of_;  // by key
  std::map<uint64_t, Lease> leases_;
  std::deque<Change> changes_;  // the newest, for watches
  uint64_t revision_ = 100;
  uint64_t next_lease_id_ = 1;
  std::list<Watch> watches_;
  uint64_t last_watch_id_ = 0;
  double requests_left_;
  double writes_left_;
  double rate_counted_at_ = 0;
  size_t refused_for_rate_ = 0;
  size_t refused_for_size_ = 0;
};

}  // namespace damsonport::simulation
