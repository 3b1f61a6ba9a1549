/// Virtual time, and a virtual network between hosts: whole controllers and stand-ins run in one
/// thread, the same way each time for the same seed.
#pragma once
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <string_view>

#include "transport/network.hpp"

namespace damsonport::simulation {

/// The fields of a request's query, by name.
std::map<std::string, std::string> query_of(const std::string& target);

/// A queue of events and a network. Events happen at their time, and those of one time in the order
/// in which they were added. All draws come from one generator, so their order decides the run.
class World {
 public:
  /// Names an event that may be cancelled. A default one names none.
  struct EventId {
    double time = 0;
    uint64_t sequence = 0;
    auto operator<=>(const EventId&) const = default;
  };

  explicit World(uint64_t seed) : random_(seed) {}
  virtual ~World() = default;
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // --- time and events

  /// Seconds since the beginning.
  double now() const { return now_; }
  /// Adds an event at a time, or now if that is past, or after so many seconds.
  EventId at(double time, std::function<void()> event);
  EventId in(double seconds, std::function<void()> event) {
    return at(now_ + seconds, std::move(event));
  }
  /// Removes the event, if it has not happened yet.
  void cancel(const EventId& id) { events_.erase(id); }
  /// Plays all events up to this time.
  void run_until(double time);
  /// The controller that runs just now, for the log.
  std::string active_controller;

  // --- random draws

  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  uint64_t random64() { return random_(); }

  // --- the network between hosts, which are named by their address

  using ResponseHandler = std::function<void(HttpReply)>;
  using RequestHandler =
      std::function<void(const std::string& from, Method method, const std::string& target,
                         const std::string& body, ResponseHandler respond)>;
  /// The host of a name that may have a connection behind it, "10.1.0.2#7".
  static std::string host_of(const std::string& from) { return from.substr(0, from.find('#')); }
  /// Requests to the host go to this handler from now on.
  virtual void serve(const std::string& host, RequestHandler handler) {
    servers_[host] = std::move(handler);
  }
  /// The host refuses connections from now on.
  virtual void stop_serving(const std::string& host) { servers_.erase(host); }
  /// Sends a request and brings back its response; both may be lost. A host that doesn't serve
  /// refuses: status 0. `from` may name a connection behind the host, so that the server can tell
  /// it from others.
  virtual void send_request(const std::string& from, const std::string& to, Method method,
                            std::string target, std::string body,
                            const ResponseHandler& on_response);
  /// Sends a one-way message: `arrive` is called at the other end.
  void send(const std::string& from, const std::string& to, std::function<void()> arrive);

  /// What becomes of messages in a cut: they arrive in order when it ends, or never.
  enum class Cut : uint8_t { hold, drop };
  /// Cuts one direction between two hosts.
  void cut(const std::string& from, const std::string& to, Cut how);
  void heal(const std::string& from, const std::string& to);
  bool is_cut(const std::string& from, const std::string& to) const {
    return cuts_.contains({from, to});
  }

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
  /// The time of the next event; infinite: there is none.
  double next_event() const {
    return events_.empty() ? std::numeric_limits<double>::infinity() : events_.begin()->first.time;
  }

 private:
  struct Direction {
    std::string from;
    std::string to;
    auto operator<=>(const Direction&) const = default;
  };
  struct CutState {
    Cut how = Cut::hold;
    std::deque<std::function<void()>> held_messages;
  };
  double now_ = 0;
  uint64_t last_sequence_ = 0;
  std::map<EventId, std::function<void()>> events_;
  std::mt19937_64 random_;
  std::map<std::string, RequestHandler> servers_;  // by host
  std::map<Direction, CutState> cuts_;
  TrafficObserver traffic_observer_;
};

}  // namespace damsonport::simulation
