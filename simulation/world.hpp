// Virtual time and a virtual network: whole controllers run in one process, the same way each time.
#pragma once
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "transport/network.hpp"

namespace damsonport::simulation {

// The fields of a request's query.
std::map<std::string, std::string> query_of(const std::string& target);

// What happens next happens at its time, and in the order it was asked for.
class World {
 public:
  using Key = std::pair<double, uint64_t>;
  explicit World(uint64_t seed) : random_(seed) {}
  virtual ~World() = default;
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  double now() const { return now_; }
  std::string acting;  // the controller at work just now
  Key at(double time, std::function<void()> what);
  Key in(double seconds, std::function<void()> what) { return at(now_ + seconds, std::move(what)); }
  void cancel(const Key& key) { events_.erase(key); }
  void run_until(double time);
  double uniform(double lo, double hi) {
    return std::uniform_real_distribution<double>(lo, hi)(random_);
  }
  uint64_t random64() { return random_(); }

  // --- the network between hosts, named by their address
  static std::string host_of(const std::string& from) { return from.substr(0, from.find('#')); }
  using Answer = std::function<void(HttpReply)>;
  using Serve =
      std::function<void(const std::string& from, Method method, const std::string& target,
                         const std::string& body, Answer answer)>;
  enum class Cut : uint8_t { hold, drop };
  virtual void serve(const std::string& host, Serve handler) {
    servers_[host] = std::move(handler);
  }
  virtual void vanish(const std::string& host) { servers_.erase(host); }
  // One way; what is held arrives in order when the cut ends.
  void cut(const std::string& from, const std::string& to, Cut how);
  void heal(const std::string& from, const std::string& to);
  bool is_cut(const std::string& from, const std::string& to) const {
    return cuts_.contains({from, to});
  }
  void send(const std::string& from, const std::string& to, std::function<void()> arrive);
  // Both messages of an exchange; a host that isn't there refuses. `from` may name a connection
  // behind the host, "10.1.0.2#7": a server tells it from others.
  virtual void ask(const std::string& from, const std::string& to, Method method,
                   std::string target, std::string body, const Answer& answer);
  /// Called for every request, response and stream message at the moment it is sent, with its
  /// bytes.
  using TrafficObserver = std::function<void(const std::string& from, const std::string& to,
                                             std::string_view header, std::string_view body)>;
  void observe_traffic(TrafficObserver observer) { traffic_observer_ = std::move(observer); }
  void report_traffic(const std::string& from, const std::string& to, std::string_view header,
                      std::string_view body) const {
    if (traffic_observer_) traffic_observer_(from, to, header, body);
  }

 protected:
  // When something happens next; nothing: infinite.
  double next_event() const {
    return events_.empty() ? std::numeric_limits<double>::infinity() : events_.begin()->first.first;
  }

 private:
  double now_ = 0;
  uint64_t sequence_ = 0;
  std::map<Key, std::function<void()>> events_;
  std::mt19937_64 random_;
  std::map<std::string, Serve> servers_;
  struct Held {
    Cut how;
    std::deque<std::function<void()>> messages;
  };
  std::map<std::pair<std::string, std::string>, Held> cuts_;
  TrafficObserver traffic_observer_;
};

// One controller's clocks; its steady clock runs at `rate`, its time of day is off by `wall_off`.
class VirtualLoop : public Loop {
 public:
  VirtualLoop(World& world, std::string name, std::seed_seq&& seed, double rate, double wall_off)
      : Loop(seed), world_(world), name_(std::move(name)), rate_(rate), wall_off_(wall_off) {}
  double now() const override { return 1000 + world_.now() * rate_; }
  double wall() const override { return 1.7e9 + world_.now() + wall_off_; }
  std::unique_ptr<Timer> timer(Timer::Fire fire, void* argument) override;
  double rate() const { return rate_; }
  World& world() { return world_; }
  // Whatever runs next is this controller's doing, for the log.
  void enter() const { world_.acting = name_; }
  // The process stands still while its clocks run on.
  void stall(double seconds) { stalled_until_ = world_.now() + seconds; }
  bool stalled() const { return world_.now() < stalled_until_; }
  double stalled_until() const { return stalled_until_; }
  // At once, or when the process goes on, in the order of the calls.
  void when_awake(std::function<void()> what);

 private:
  void ended() override {}
  World& world_;
  std::string name_;
  double rate_, wall_off_;
  double stalled_until_ = 0;
};

// One controller's sockets. When its process ends nothing of it reaches the world any more.
class VirtualNetwork : public Network {
 public:
  // Streams between controllers, by the listener's address.
  using Streams = std::map<std::string, StreamListener::OnBytes>;
  VirtualNetwork(VirtualLoop& loop, std::string host, Streams& streams)
      : loop_(loop), host_(std::move(host)), streams_(streams) {}
  ~VirtualNetwork() override { end(); }
  void end();
  std::unique_ptr<HttpClient> client() override;
  std::unique_ptr<HttpServer> server(size_t max_body, size_t max_connections, double idle_s,
                                     HttpServer::Handler handler) override;
  std::unique_ptr<StreamLink> link(const Endpoint& to) override;
  std::unique_ptr<StreamListener> listener(const Endpoint& at, size_t max_streams,
                                           StreamListener::OnBytes on_bytes) override;

 private:
  VirtualLoop& loop_;
  std::string host_;
  Streams& streams_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace damsonport::simulation
