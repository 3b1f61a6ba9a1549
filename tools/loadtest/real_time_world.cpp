#include "real_time_world.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport::loadtest {

namespace {

constexpr size_t max_body = size_t{1024} * 1024, max_connections = 256;
constexpr double idle_s = 120, patience_s = 15;

// "/api/jobs/run-1/cancel" and its like are one kind.
std::string kind_of(Method method, const std::string& target) {
  const auto path = target.substr(0, target.find('?'));
  if (path.starts_with("/api/jobs/")) return path.ends_with("/cancel") ? "cancellation" : "poll";
  if (path == "/api/jobs") return "submission";
  if (path.starts_with("/grants")) return "lease";
  if (path.starts_with("/keys")) return path == "/keys" ? "list" : "read";
  if (path.starts_with("/hosts")) return method == Method::get ? "machine list" : "rental";
  return path.substr(1);
}

}  // namespace

Json traffic_json(const TrafficByKind& traffic) {
  Json out = Json::object();
  for (auto& [kind, t] : traffic) out[kind] = {t.requests, t.bytes_in, t.bytes_out};
  return out;
}

// The answer of a handler that may come later.
struct RealTimeWorld::Reply {
  std::coroutine_handle<> waiter;
  HttpClientResponse value;
  bool done = false;
};

// Waits for it. Holds the reply by pointer: an awaiter that is awaited through one is copied by
// this compiler.
struct RealTimeWorld::ReplyWait {
  std::shared_ptr<Reply> reply;

  bool await_ready() const { return reply->done; }
  void await_suspend(std::coroutine_handle<> handle) const { reply->waiter = handle; }
  void await_resume() const {}
};

RealTimeWorld::RealTimeWorld(EventLoop& loop, uint64_t seed)
    : World(seed), loop_(loop), begun_(loop.now()) {
  timer_ = loop.timer([](void* self) { static_cast<RealTimeWorld*>(self)->act([] {}); }, this);
  arm();
}

RealTimeWorld::~RealTimeWorld() = default;

Endpoint RealTimeWorld::endpoint(const std::string& host) const {
  auto it = ports_.find(host);
  return {host, it == ports_.end() ? default_port : it->second};
}

void RealTimeWorld::arm() {
  // What is asked for from outside `act` waits for the next look at the least.
  constexpr double longest_s = 0.01;
  timer_->arm(std::clamp(next_event() - elapsed(), 0.0, longest_s));
}

void RealTimeWorld::act(const std::function<void()>& what) {
  run_until(elapsed());
  what();
  arm();
}

void RealTimeWorld::serve(const std::string& host, RequestHandler handler) {
  handlers_[host] = std::move(handler);
  auto& server = servers_[host];
  if (server) return;
  server = std::make_unique<EventHttpServer>(
      loop_, max_body, max_connections, idle_s,
      [this, host](HttpRequest request) { return answer_request(host, std::move(request)); });
  if (!server->bind(endpoint(host))) spdlog::error("cannot listen on {}", endpoint(host).text());
}

void RealTimeWorld::stop_serving(const std::string& host) {
  handlers_.erase(host);
  // Not from inside one of its requests.
  if (auto it = servers_.find(host); it != servers_.end()) {
    auto server = std::make_shared<std::unique_ptr<EventHttpServer>>(std::move(it->second));
    servers_.erase(it);
    in(1, [server] { server->reset(); });
  }
}

Task<HttpResponse> RealTimeWorld::answer_request(std::string host, HttpRequest request) {
  auto reply = std::make_shared<Reply>();
  auto target = request.path + (request.query.empty() ? "" : "?" + request.query);
  const auto kind = kind_of(request.method, target);
  const size_t asked_bytes = request.body.size();
  act([&] {
    auto it = handlers_.find(host);
    if (it == handlers_.end()) {
      reply->done = true;
      reply->value.status = 503;
      return;
    }
    it->second("", request.method, target, request.body, [reply](const HttpClientResponse& value) {
      if (reply->done) return;
      reply->done = true;
      reply->value = value;
      if (reply->waiter) reply->waiter.resume();
    });
  });
  ReplyWait wait{reply};
  co_await wait;
  served_[kind] += {1, asked_bytes, reply->value.body.size()};
  co_return HttpResponse{reply->value.status, std::move(reply->value.body), 0};
}

void RealTimeWorld::send_request(const std::string& from, const std::string& to, Method method,
                                 std::string target, std::string body,
                                 const ResponseHandler& answer) {
  auto& client = clients_[host_of(from)];
  if (!client) client = std::make_unique<EventHttpClient>(loop_);
  loop_.spawn("ask",
              exchange(*client, endpoint(to), method, std::move(target), std::move(body), answer));
}

Task<void> RealTimeWorld::exchange(EventHttpClient& client, Endpoint to, Method method,
                                   std::string target, std::string body, ResponseHandler answer) {
  const auto kind = kind_of(method, target);
  const size_t asked_bytes = body.size();
  auto reply = co_await client.request(std::move(to), method, std::move(target), std::move(body),
                                       patience_s);
  asked_[kind] += {1, reply.body.size(), asked_bytes};
  act([&] { answer(reply); });
}

}  // namespace damsonport::loadtest
