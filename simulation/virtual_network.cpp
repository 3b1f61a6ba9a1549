#include "simulation/virtual_network.hpp"

#include <algorithm>

namespace damsonport::simulation {

namespace {
class VirtualTimer : public Timer {
 public:
  VirtualTimer(VirtualLoop& loop, Callback fire, void* argument)
      : loop_(loop), fire_(fire), argument_(argument) {}
  ~VirtualTimer() override { disarm(); }
  void arm(double seconds) override {
    disarm();
    schedule(loop_.world().now() + std::max(seconds, 0.0) / loop_.rate());
  }
  void disarm() override {
    if (armed_) loop_.world().cancel(event_);
    armed_ = false;
  }

 private:
  void schedule(double at) {
    event_ = loop_.world().at(at, [this] { on_due(); });
    armed_ = true;
  }
  void on_due() {
    armed_ = false;
    // The timer can still be disarmed until the process resumes.
    if (loop_.stalled()) return schedule(loop_.stalled_until());
    loop_.enter();
    fire_(argument_);  // may destroy the timer
  }
  VirtualLoop& loop_;
  Callback fire_;
  void* argument_;
  World::EventId event_;
  bool armed_ = false;
};

class VirtualClient : public HttpClient {
 public:
  VirtualClient(VirtualLoop& loop, std::string host, std::shared_ptr<bool> alive)
      : loop_(loop), host_(std::move(host)), alive_(std::move(alive)) {}

  Task<HttpClientResponse> request(Endpoint to, Method method, std::string target, std::string body,
                                   double timeout_s) override {
    auto exchange = std::make_shared<Exchange>();
    auto& world = loop_.world();
    if (!*alive_) {
      timeout_s = 0;
    } else {
      world.send_request(host_, to.host, method, std::move(target), std::move(body),
                         [exchange, &loop = loop_, alive = alive_](HttpClientResponse reply) {
                           if (!*alive) return;
                           loop.when_awake([exchange, &loop, alive, reply = std::move(reply)] {
                             if (!*alive || exchange->done) return;
                             loop.enter();
                             exchange->reply = reply;
                             exchange->done = true;
                             loop.world().cancel(exchange->expiry);
                             if (exchange->waiter) exchange->waiter.resume();
                           });
                         });
    }
    Wait wait{loop_, exchange, timeout_s};
    co_await wait;
    co_return std::move(exchange->reply);
  }
  void close_idle_connections(double) override {}
  void set_idle_limit(std::function<size_t()>) override {}
  size_t requests_in_progress() const override { return 0; }
  size_t idle_connections() const override { return 0; }

 private:
  struct Exchange {
    std::coroutine_handle<> waiter;
    HttpClientResponse reply;
    bool done = false;
    World::EventId expiry;
  };
  struct Wait {
    VirtualLoop& loop;
    std::shared_ptr<Exchange> exchange;
    double timeout_s;
    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> waiter) {
      exchange->waiter = waiter;
      expire_at(loop, exchange, loop.world().now() + timeout_s / loop.rate());
    }
    void await_resume() const {}
    static void expire_at(VirtualLoop& loop, const std::shared_ptr<Exchange>& exchange,
                          double time) {
      exchange->expiry = loop.world().at(time, [exchange, &loop] {
        if (exchange->done) return;
        if (loop.stalled()) return expire_at(loop, exchange, loop.stalled_until());
        loop.enter();
        exchange->done = true;
        exchange->waiter.resume();
      });
    }
  };
  VirtualLoop& loop_;
  std::string host_;
  std::shared_ptr<bool> alive_;
};

class VirtualServer : public HttpServer {
 public:
  VirtualServer(VirtualLoop& loop, std::string host, size_t max_body, Handler handler,
                std::shared_ptr<bool> alive)
      : loop_(loop),
        host_(std::move(host)),
        max_body_(max_body),
        handler_(std::move(handler)),
        alive_(std::move(alive)) {}
  bool bind(const Endpoint&) override {
    loop_.world().serve(
        host_, [this](auto& from, Method method, auto& target, auto& body, auto respond) {
          if (body.size() > max_body_) return respond({413, {}});
          const auto query_start = target.find('?');
          HttpRequest request{
              method, target.substr(0, query_start),
              query_start == std::string::npos ? std::string() : target.substr(query_start + 1),
              body, previous_response(from)};
          loop_.when_awake([this, alive = alive_, from, request, respond = std::move(respond)] {
            if (!*alive) return;
            loop_.enter();
            loop_.spawn("request", handle(from, request, respond, alive));
          });
        });
    return true;
  }
  uint16_t port() const override { return 0; }
  void resume_accepting() override {}
  size_t open_connections() const override { return 0; }

 private:
  // Returns the time of the previous response on the connection that `from` names, or 0 if `from`
  // names no connection or there was no response.
  double previous_response(const std::string& from) const {
    auto it = responded_at_.find(from);
    return it == responded_at_.end() ? 0 : it->second;
  }
  Task<void> handle(std::string from, HttpRequest request, World::ResponseHandler respond,
                    std::shared_ptr<bool> alive) {
    auto response = co_await handler_(std::move(request));
    if (!*alive) co_return;
    if (from.find('#') != std::string::npos) responded_at_[from] = loop_.now();
    respond({response.status, std::move(response.body)});
  }
  std::map<std::string, double> responded_at_;  // by connection
  VirtualLoop& loop_;
  std::string host_;
  size_t max_body_;
  Handler handler_;
  std::shared_ptr<bool> alive_;
};

class VirtualLink : public StreamLink {
 public:
  VirtualLink(VirtualLoop& loop, std::string from, Endpoint to, VirtualNetwork::Streams& streams,
              std::shared_ptr<bool> alive)
      : loop_(loop),
        from_(std::move(from)),
        to_(std::move(to)),
        streams_(streams),
        alive_(std::move(alive)) {}
  void send(const std::string& bytes) override {
    if (!*alive_) return;
    loop_.world().report_traffic(from_, to_.text(), "stream", bytes);
    loop_.world().send(from_, to_.host, [&streams = streams_, to = to_, bytes] {
      if (auto it = streams.find(to.text()); it != streams.end()) it->second(bytes);
    });
  }

 private:
  VirtualLoop& loop_;
  std::string from_;
  Endpoint to_;
  VirtualNetwork::Streams& streams_;
  std::shared_ptr<bool> alive_;
};

class VirtualListener : public StreamListener {
 public:
  bool listening() const override { return true; }
};
}  // namespace

void VirtualLoop::when_awake(std::function<void()> action) {
  if (!stalled()) return action();
  world_.at(stalled_until_, [this, action = std::move(action)] { when_awake(action); });
}

std::unique_ptr<Timer> VirtualLoop::timer(Timer::Callback fire, void* argument) {
  return std::make_unique<VirtualTimer>(*this, fire, argument);
}

void VirtualNetwork::end() {
  if (!*alive_) return;
  *alive_ = false;
  loop_.world().stop_serving(host_);
  std::erase_if(streams_, [&](auto& stream) { return stream.first.starts_with(host_ + ":"); });
}

std::unique_ptr<HttpClient> VirtualNetwork::client() {
  return std::make_unique<VirtualClient>(loop_, host_, alive_);
}

std::unique_ptr<HttpServer> VirtualNetwork::server(const HttpServerLimits& limits,
                                                   HttpServer::Handler handler) {
  return std::make_unique<VirtualServer>(loop_, host_, limits.max_body, std::move(handler), alive_);
}

std::unique_ptr<StreamLink> VirtualNetwork::link(const Endpoint& to) {
  return std::make_unique<VirtualLink>(loop_, host_, to, streams_, alive_);
}

std::unique_ptr<StreamListener> VirtualNetwork::listener(const Endpoint& at, size_t,
                                                         StreamListener::OnBytes on_bytes) {
  streams_[at.text()] = [&loop = loop_, alive = alive_,
                         on_bytes = std::move(on_bytes)](std::string_view bytes) {
    loop.when_awake([alive, on_bytes, bytes = std::string(bytes)] {
      if (*alive) on_bytes(bytes);
    });
    return static_cast<long>(bytes.size());
  };
  return std::make_unique<VirtualListener>();
}

}  // namespace damsonport::simulation
