// The network between regions: a TCP proxy that forwards bytes with the delay of the link. While
// two regions are cut, their streams are closed and new connections are refused.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>

#include <deque>
#include <list>
#include <memory>
#include <set>

#include "addresses.hpp"
#include "emulator_loop.hpp"
#include "emulator_processes.hpp"

namespace damsonport::loadtest {

namespace {

using RegionPair = std::pair<size_t, size_t>;

sockaddr_in socket_address(const std::string& host) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(addresses::region_port);
  evutil_inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

// Listens at one address for each pair of a region and a controller of another region.
class RegionLinks {
 public:
  RegionLinks(const ExperimentPlan& plan, ParentChannel& parent)
      : plan_(plan),
        parent_(parent),
        emulator_(parent, [this](const Json& command) { handle_command(command); }) {
    for (size_t from = 0; from < plan.regions; ++from)
      for (size_t to = 0; to < plan.regions; ++to)
        for (size_t n = 0; from != to && n < plan.controllers[to]; ++n) listen(from, to, n);
  }
  void run() {
    emulator_.run([this] { send_report("second"); });
  }

 private:
  // Accepts connections of the pair's first region to one controller of its second region.
  struct Listener {
    RegionLinks* links;
    RegionPair pair;
    std::string target;  // address of the controller
  };
  // A forwarded connection. One direction is enough, because controllers only send on the streams
  // that they open.
  struct Stream {
    RegionLinks* links = nullptr;
    RegionPair pair;
    bufferevent* in = nullptr;
    bufferevent* out = nullptr;
    std::deque<std::pair<double, std::string>> delayed;  // due time in seconds, bytes
    event* timer = nullptr;
    ~Stream() {
      if (in) bufferevent_free(in);
      if (out) bufferevent_free(out);
      if (timer) event_free(timer);
    }
  };

  void listen(size_t from, size_t to, size_t n) {
    auto& listener =
        listeners_.emplace_back(Listener{this, {from, to}, addresses::controller(to, n)});
    auto address = socket_address(addresses::link(from, to, n));
    auto* bound = evconnlistener_new_bind(
        emulator_.loop().base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
          auto* l = static_cast<Listener*>(arg);
          l->links->accept(fd, *l);
        },
        &listener, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (!bound) spdlog::error("cannot listen on {}", addresses::link(from, to, n));
  }

  void accept(evutil_socket_t fd, const Listener& listener) {
    if (cut_pairs_.contains(listener.pair)) {
      evutil_closesocket(fd);
      return;
    }
    auto& stream = streams_.emplace_back();
    stream.links = this;
    stream.pair = listener.pair;
    auto* base = emulator_.loop().base();
    stream.in = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    stream.out = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    stream.timer = evtimer_new(
        base, [](evutil_socket_t, short, void* s) { forward_due(*static_cast<Stream*>(s)); },
        &stream);
    auto ended = [](bufferevent*, short events, void* s) {
      if (events & BEV_EVENT_CONNECTED) return;
      auto* closed = static_cast<Stream*>(s);
      closed->links->streams_.remove_if([closed](auto& other) { return &other == closed; });
    };
    bufferevent_setcb(
        stream.in, [](bufferevent*, void* s) { receive(*static_cast<Stream*>(s)); }, nullptr, ended,
        &stream);
    bufferevent_setcb(stream.out, nullptr, nullptr, ended, &stream);
    bufferevent_enable(stream.in, EV_READ);
    bufferevent_enable(stream.out, EV_READ | EV_WRITE);
    auto address = socket_address(listener.target);
    bufferevent_socket_connect(stream.out, reinterpret_cast<sockaddr*>(&address), sizeof address);
  }

  static void receive(Stream& stream) {
    auto* input = bufferevent_get_input(stream.in);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    auto& links = *stream.links;
    links.forwarded_bytes_ += bytes.size();
    stream.delayed.emplace_back(links.emulator_.loop().now() + links.plan_.link_delay_s,
                                std::move(bytes));
    if (stream.delayed.size() == 1) forward_due(stream);
  }

  // Forwards the bytes whose delay is over, and sets the timer for the next ones.
  static void forward_due(Stream& stream) {
    const double now = stream.links->emulator_.loop().now();
    while (!stream.delayed.empty() && stream.delayed.front().first <= now) {
      auto& bytes = stream.delayed.front().second;
      bufferevent_write(stream.out, bytes.data(), bytes.size());
      stream.delayed.pop_front();
    }
    if (stream.delayed.empty()) return;
    const double left = stream.delayed.front().first - now;
    const timeval wait{0, static_cast<suseconds_t>(left * 1e6) + 1};
    event_add(stream.timer, &wait);
  }

  void handle_command(const Json& command) {
    const std::string command_name = command.at("do");
    if (command_name == "cut") {
      const size_t a = command.at("a"), b = command.at("b");
      for (auto& pair : {RegionPair{a, b}, RegionPair{b, a}}) {
        if (command.at("on").get<bool>()) {
          cut_pairs_.insert(pair);
        } else {
          cut_pairs_.erase(pair);
        }
      }
      streams_.remove_if([&](auto& stream) { return cut_pairs_.contains(stream.pair); });
    }
    if (command_name != "finish") return;
    send_report("final");
    emulator_.finish();
  }
  void send_report(const char* kind) {
    parent_.send({{"kind", kind}, {"bytes", forwarded_bytes_}});
  }

  const ExperimentPlan& plan_;
  ParentChannel& parent_;
  EmulatorLoop emulator_;
  std::list<Listener> listeners_;
  std::list<Stream> streams_;
  std::set<RegionPair> cut_pairs_;
  uint64_t forwarded_bytes_ = 0;
};

}  // namespace

void run_region_links(const ExperimentPlan& plan, ParentChannel& parent) {
  // Leaked on purpose: the process ends when `run` returns.
  auto* links = new RegionLinks(plan, parent);
  links->run();
}

}  // namespace damsonport::loadtest
