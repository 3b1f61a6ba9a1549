// A stand-in for the state service, written from the protocol.
#pragma once
#include <list>
#include <map>
#include <set>

#include "config/state_limits.hpp"
#include "protocol/messages.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

class StateService {
 public:
  StateService(World& world, const std::string& host, const StateLimits& limits);
  // In force from now on; what is stored stays readable.
  void set_limits(const StateLimits& limits) { limits_ = limits; }
  // During an outage all get 503 and open watches wait; afterwards leases get their full time.
  void set_down(bool down);
  // One controller alone is refused, and its watches wait.
  void refuse(const std::string& host, bool on);
  // Of the transactions of a host (empty: of all): what becomes of them.
  enum class Fate : uint8_t { normal, applied_late, answer_lost };
  void set_fate(Fate fate, std::string host) { fate_ = fate, fate_host_ = std::move(host); }
  void set_delay(double seconds) { delay_s_ = seconds; }

  // As if it had been written before the beginning.
  void store(const std::string& key, Json value) { keys_[key] = {std::move(value), revision_}; }
  // As if somebody wrote it now.
  void write(const std::string& key, const Json& value);
  const Json* value(const std::string& key) const;
  const std::map<std::string, std::pair<Json, uint64_t>>& all() const { return keys_; }
  // Told of each change.
  std::function<void(const std::string& key, const Json& value)> on_change;
  size_t refused_for_rate() const { return over_rate_; }
  size_t refused_for_size() const { return over_size_; }

 private:
  struct Watch {
    uint64_t id;
    std::string host, prefix;
    uint64_t since;
    World::Answer answer;
    bool done = false;
  };
  struct Lease {
    double life_s;
    World::Key expiry;
  };
  void handle(const std::string& from, Method method, const std::string& target,
              const std::string& body, const World::Answer& answer);
  void txn(const std::string& from, const std::string& body, const World::Answer& answer);
  HttpReply apply(const Json& m);
  HttpReply list(const std::map<std::string, std::string>& query) const;
  bool answer_watch(Watch& w, bool timed_out);
  void put(const std::string& key, const Json& value, uint64_t lease);
  void remove(const std::string& key);
  void changed();
  void end_lease(uint64_t id);
  void renew(uint64_t id);
  bool over_rate(int writes);

  World& world_;
  StateLimits limits_;
  bool down_ = false;
  std::set<std::string> refused_;
  Fate fate_ = Fate::normal;
  std::string fate_host_;
  double delay_s_ = 0.004;
  std::map<std::string, std::pair<Json, uint64_t>> keys_;
  std::map<std::string, uint64_t> lease_of_;
  std::map<uint64_t, Lease> leases_;
  struct Change {
    std::string key;
    Json value;
    uint64_t revision;
  };
  std::deque<Change> changes_;
  uint64_t revision_ = 100, next_lease_ = 1;
  std::list<Watch> watches_;
  uint64_t last_watch_ = 0;
  double requests_, writes_, filled_at_ = 0;
  size_t over_rate_ = 0, over_size_ = 0;
};

}  // namespace damsonport::simulation
