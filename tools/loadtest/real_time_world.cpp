#include "real_time_world.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport::loadtest {

namespace {

constexpr size_t max_body = size_t{1024} * 1024, max_connections = 256;
constexpr double idle_timeout_s = 120, request_timeout_s = 15;

// The kind under which a request is counted; paths that differ only in ids are of one kind.
std::string traffic_kind(Method method, const std::string& target) {
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

// The reply of a handler, which may come after the handler returns.
struct RealTimeWorld::PendingReply {
  std::coroutine_handle<> waiter;
  HttpClientResponse value;
  bool done = false;
};

// Waits for a pending reply. Holds the reply by shared pointer, because this compiler copies an
// awaiter that is awaited through a pointer, and the copies must share one reply.
struct RealTimeWorld::ReplyAwaiter {
  std::shared_ptr<PendingReply> reply;

  bool await_ready() const { return reply->done; }
  void await_suspend(std::coroutine_handle<> handle) const { reply->waiter = handle; }
  void await_resume() const {}
};

RealTimeWorld::RealTimeWorld(EventLoop& loop, uint64_t seed)
    : World(seed), loop_(loop), started_at_(loop.now()) {
  timer_ =
      loop.timer([](void* self) { static_cast<RealTimeWorld*>(self)->run_in_world([] {}); }, this);
  arm_timer();
}

RealTimeWorld::~RealTimeWorld() = default;

Endpoint RealTimeWorld::endpoint(const std::string& host) const {
  auto it = ports_.find(host);
  return {host, it == ports_.end() ? default_port : it->second};
}

void RealTimeWorld::arm_timer() {
  // Events that were added outside `run_in_world` don't set the timer, so it must expire regularly.
  constexpr double max_delay_s = 0.01;
  timer_->arm(std::clamp(next_event() - elapsed(), 0.0, max_delay_s));
}

void RealTimeWorld::run_in_world(const std::function<void()>& action) {
  run_until(elapsed());
  action();
  arm_timer();
}

void RealTimeWorld::serve(const std::string& host, RequestHandler handler) {
  handlers_[host] = std::move(handler);
  auto& server = servers_[host];
  if (server) return;
  server = std::make_unique<EventHttpServer>(
      loop_, HttpServerLimits{max_body, max_connections, idle_timeout_s, request_timeout_s},
      [this, host](HttpRequest request) { return answer_request(host, std::move(request)); });
  if (!server->bind(endpoint(host))) spdlog::error("cannot listen on {}", endpoint(host).text());
}

void RealTimeWorld::stop_serving(const std::string& host) {
  handlers_.erase(host);
  // The server is destroyed later, because this call may come from inside one of its requests.
  if (auto it = servers_.find(host); it != servers_.end()) {
    auto server = std::make_shared<std::unique_ptr<EventHttpServer>>(std::move(it->second));
    servers_.erase(it);
    in(1, [server] { server->reset(); });
  }
}

Task<HttpResponse> RealTimeWorld::answer_request(std::string host, HttpRequest request) {
  auto reply = std::make_shared<PendingReply>();
  auto target = request.path + (request.query.empty() ? "" : "?" + request.query);
  const auto kind = traffic_kind(request.method, target);
  const size_t request_bytes = request.body.size();
  run_in_world([&] {
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
  ReplyAwaiter wait{reply};
  co_await wait;
  server_traffic_[kind] += {1, request_bytes, reply->value.body.size()};
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
  const auto kind = traffic_kind(method, target);
  const size_t request_bytes = body.size();
  auto reply = co_await client.request(std::move(to), method, std::move(target), std::move(body),
                                       request_timeout_s);
  client_traffic_[kind] += {1, reply.body.size(), request_bytes};
  run_in_world([&] { answer(reply); });
}

}  // namespace damsonport::loadtest
