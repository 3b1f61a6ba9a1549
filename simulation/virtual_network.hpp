/// The clocks and sockets of one controller in the virtual world: an event loop and a network in
/// place of the real ones.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "simulation/world.hpp"
#include "transport/network.hpp"

namespace damsonport::simulation {

/// The event loop of one controller. Its steady clock advances by `rate` seconds in a second of the
/// world. Its wall clock is off by `wall_offset` seconds.
class VirtualLoop : public Loop {
 public:
  VirtualLoop(World& world, std::string name, std::seed_seq&& seed, double rate, double wall_offset)
      : Loop(seed), world_(world), name_(std::move(name)), rate_(rate), wall_offset_(wall_offset) {}
  double now() const override { return 1000 + world_.now() * rate_; }
  double unix_time() const override { return 1.7e9 + world_.now() + wall_offset_; }
  std::unique_ptr<Timer> timer(Timer::Callback fire, void* argument) override;
  double rate() const { return rate_; }
  World& world() { return world_; }
  /// Makes this controller the one that the following log lines name.
  void enter() const { world_.active_controller = name_; }
  /// Pauses the process while its clocks run on.
  void stall(double seconds) { stalled_until_ = world_.now() + seconds; }
  bool stalled() const { return world_.now() < stalled_until_; }
  double stalled_until() const { return stalled_until_; }
  /// Calls `action` at once, or when a paused process resumes, in the order of the calls.
  void when_awake(std::function<void()> action);

 private:
  void on_tasks_ended() override {}
  World& world_;
  std::string name_;
  double rate_;
  double wall_offset_;
  double stalled_until_ = 0;
};

/// The sockets of one controller. After end() no message of its process reaches the world.
class VirtualNetwork : public Network {
 public:
  /// Listeners for the streams between controllers, by address. All controllers share the map.
  using Streams = std::map<std::string, StreamListener::OnBytes>;
  VirtualNetwork(VirtualLoop& loop, std::string host, Streams& streams)
      : loop_(loop), host_(std::move(host)), streams_(streams) {}
  ~VirtualNetwork() override { end(); }
  /// Closes all sockets. The destructor calls it too.
  void end();
  std::unique_ptr<HttpClient> client() override;
  std::unique_ptr<HttpServer> server(const HttpServerLimits& limits,
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
