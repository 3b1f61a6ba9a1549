/// Virtual time and a virtual network between hosts. Controllers and simulated services run in one
/// thread, and the same seed gives the same run.
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

/// Returns the fields of a request's query string, by name.
std::map<std::string, std::string> query_of(const std::string& target);

/// A request whose receiver has responded.
struct AnsweredRequest {
  std::string from;  ///< host of the sender
  std::string to;    ///< host of the receiver
  Method method = Method::get;
  std::string target;
  std::string body;
  int status = 0;  ///< of the response
};

/// An event queue and a network. Events happen in the order of their times; events with equal times
/// happen in the order in which they were added. All random draws come from one generator, so the
/// order of the draws determines the run.
class World {
 public:
  /// Identifies an event that may be cancelled. A default-constructed id refers to no event.
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

  /// Seconds since the start.
  double now() const { return now_; }
  /// Adds an event at `time`, or at the current time if `time` has passed; or `seconds` from now.
  EventId at(double time, std::function<void()> event);
  EventId in(double seconds, std::function<void()> event) {
    return at(now_ + seconds, std::move(event));
  }
  /// Removes the event if it hasn't happened yet.
  void cancel(const EventId& id) { events_.erase(id); }
  /// Runs all events up to `time`.
  void run_until(double time);
  /// The name of the controller that is running now, for the log.
  std::string active_controller;

  // --- random draws

  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  uint64_t random64() { return random_(); }

  // --- the network between hosts, which are named by their address

  /// Called with the response to a request.
  using ResponseHandler = std::function<void(HttpClientResponse)>;
  /// Handles a request to a host and calls `respond` at most once.
  using RequestHandler =
      std::function<void(const std::string& from, Method method, const std::string& target,
                         const std::string& body, ResponseHandler respond)>;
  /// Returns the host of a sender's name, which may end with a connection, as in "10.1.0.2#7".
  static std::string host_of(const std::string& from) { return from.substr(0, from.find('#')); }
  /// Passes the requests to `host` to this handler from now on.
  virtual void serve(const std::string& host, RequestHandler handler) {
    servers_[host] = std::move(handler);
  }
  /// Refuses connections to `host` from now on.
  virtual void stop_serving(const std::string& host) { servers_.erase(host); }
  /// Sends a request and delivers the response to `on_response`; both may be lost. A host that
  /// doesn't serve refuses the connection, which gives status 0. `from` may name a connection of
  /// the host, so that the server can tell connections apart.
  virtual void send_request(const std::string& from, const std::string& to, Method method,
                            std::string target, std::string body,
                            const ResponseHandler& on_response);
  /// Sends a one-way message; `arrive` is called when it arrives.
  void send(const std::string& from, const std::string& to, std::function<void()> arrive);

  /// How a partition treats messages: it holds them and delivers them in order when it ends, or it
  /// drops them.
  enum class Cut : uint8_t { hold, drop };
  /// Starts or ends the partition of one direction between two hosts.
  void cut(const std::string& from, const std::string& to, Cut how);
  void heal(const std::string& from, const std::string& to);
  bool is_cut(const std::string& from, const std::string& to) const {
    return cuts_.contains({from, to});
  }

  /// Called for each request when its receiver responds.
  using AnswerObserver = std::function<void(const AnsweredRequest& request)>;
  void observe_answers(AnswerObserver observer) { answer_observer_ = std::move(observer); }
  /// Delivers the request to its receiver once more, on no connection; nobody gets the response.
  void deliver_copy(const AnsweredRequest& request);

  /// Called with the bytes of every request, response and stream message when it is sent.
  using TrafficObserver = std::function<void(const std::string& from, const std::string& to,
                                             std::string_view header, std::string_view body)>;
  void observe_traffic(TrafficObserver observer) { traffic_observer_ = std::move(observer); }
  void report_traffic(const std::string& from, const std::string& to, std::string_view header,
                      std::string_view body) const {
    if (traffic_observer_) traffic_observer_(from, to, header, body);
  }

 protected:
  /// Returns the time of the next event, or infinity if there is none.
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
  AnswerObserver answer_observer_;
};

}  // namespace damsonport::simulation
