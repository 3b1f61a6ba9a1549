// HTTP server and client, and streams, over real loopback sockets on a free port.
#include <gtest/gtest.h>

#include <limits>

#include "coordination/leadership/connection_policy.hpp"
#include "transport/event_http.hpp"
#include "transport/event_stream.hpp"
#include "transport/open_file_limit.hpp"

namespace damsonport {
namespace {

struct HttpFixture {
  EventLoop loop;
  EventHttpClient client{loop};
  EventHttpServer server;
  Endpoint endpoint;
  HttpFixture()
      : server(loop, 1000, 16, 10, [](HttpRequest r) -> Task<HttpResponse> {
          HttpResponse out{r.method == Method::post ? 200 : 405, r.body, 0};
          out.close = r.path == "/last";
          if (r.path == "/busy") out.status = 503, out.retry_after_s = 1;
          co_return out;
        }) {
    EXPECT_TRUE(server.bind({"127.0.0.1", 0}));
    endpoint = {"127.0.0.1", server.port()};
  }
  HttpClientResponse send(Method method, std::string path, std::string body) {
    HttpClientResponse response;
    loop.spawn("request", run(method, std::move(path), std::move(body), &response));
    loop.run();
    return response;
  }
  Task<void> run(Method method, std::string path, std::string body, HttpClientResponse* out) {
    *out = co_await client.request(endpoint, method, std::move(path), std::move(body), 5.0);
    loop.stop();
  }
};

TEST(Http, BodySent_EchoedByTheHandler) {
  HttpFixture f;
  auto response = f.send(Method::post, "/x?y=1", "hello");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "hello");
}

TEST(Http, MethodNotServed_ReachesTheHandler) {
  HttpFixture f;
  EXPECT_EQ(f.send(Method::get, "/x", "").status, 405);
}

TEST(Http, BodyOverTheLimit_NotHandled) {
  HttpFixture f;
  EXPECT_NE(f.send(Method::post, "/x", std::string(5000, 'a')).status, 200);
}

// The limit of idle connections changes with the sockets that other connections use. Beyond the
// limit, the least recently used connection must be closed first.
TEST(Http, IdleConnectionsOverTheLimit_OldestClosed) {
  HttpFixture f;
  EventHttpServer other_server(f.loop, 1000, 16, 10,
                               [](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse{}; });
  ASSERT_TRUE(other_server.bind({"127.0.0.1", 0}));
  size_t limit = 2;
  f.client.set_idle_limit([&] { return limit; });
  auto send_both = [&](Endpoint first, Endpoint second) -> Task<void> {
    co_await f.client.request(first, Method::post, "/", "x", 5.0);
    co_await f.client.request(second, Method::post, "/", "x", 5.0);
    f.loop.stop();
  };
  f.loop.spawn("request", send_both(f.endpoint, {"127.0.0.1", other_server.port()}));
  f.loop.run();
  EXPECT_EQ(f.client.idle_connections(), 2u);
  EXPECT_EQ(f.client.requests_in_progress(), 0u);
  limit = 1;
  f.send(Method::post, "/", "x");
  EXPECT_EQ(f.client.idle_connections(), 1u);
}

TEST(Http, ResponseWithClose_ConnectionClosed) {
  HttpFixture f;
  f.send(Method::post, "/last", "x");
  EXPECT_EQ(f.server.open_connections(), 0u);
}

// The time of the previous response bounds the age of a heartbeat on the same connection.
TEST(Http, ConnectionReused_RequestCarriesThePreviousResponseTime) {
  EventLoop loop;
  std::vector<double> previous, answered;
  EventHttpServer server(loop, 1000, 16, 10, [&](HttpRequest r) -> Task<HttpResponse> {
    previous.push_back(r.previous_response_at);
    answered.push_back(loop.now());
    co_return HttpResponse{200, {}, 0, r.path == "/last"};
  });
  ASSERT_TRUE(server.bind({"127.0.0.1", 0}));
  EventHttpClient client(loop);
  const Endpoint endpoint{"127.0.0.1", server.port()};
  auto send_three = [&]() -> Task<void> {
    co_await client.request(endpoint, Method::post, "/", "x", 5.0);
    co_await client.request(endpoint, Method::post, "/last", "x", 5.0);
    co_await client.request(endpoint, Method::post, "/", "x", 5.0);
    loop.stop();
  };
  loop.spawn("request", send_three());
  loop.run();
  ASSERT_EQ(previous.size(), 3u);
  EXPECT_EQ(previous[0], 0);
  EXPECT_GE(previous[1], answered[0]);
  EXPECT_LE(previous[1], answered[1]);
  EXPECT_EQ(previous[2], 0) << "the third request is on a new connection";
}

TEST(Http, EndpointNotListening_NoResponse) {
  HttpFixture f;
  f.endpoint.port = 1;
  EXPECT_FALSE(f.send(Method::post, "/x", "hello").answered());
}

// With more workers than connections, the server closes each connection after its heartbeat, so
// that all workers get a response.
TEST(Http, MoreWorkersThanConnections_AllReceiveResponses) {
  constexpr size_t connections = 4, workers = 24;
  EventLoop loop;
  EventHttpServer* running_server = nullptr;
  EventHttpServer server(loop, 1000, connections, 60, [&](HttpRequest) -> Task<HttpResponse> {
    HttpResponse out;
    out.close = closes_after_answer(Requester::worker,
                                    {running_server->open_connections(), connections, workers});
    co_return out;
  });
  running_server = &server;
  ASSERT_TRUE(server.bind({"127.0.0.1", 0}));
  const Endpoint endpoint{"127.0.0.1", server.port()};
  // Each client stands for one worker, which keeps its connection open if the server allows it.
  std::vector<std::unique_ptr<EventHttpClient>> clients;
  size_t answered = 0, ended = 0;
  auto send_heartbeat = [&](EventHttpClient& client) -> Task<void> {
    answered += (co_await client.request(endpoint, Method::post, "/hello", "x", 4.0)).status == 200;
    if (++ended == workers) loop.stop();
  };
  for (size_t i = 0; i < workers; ++i) {
    clients.push_back(std::make_unique<EventHttpClient>(loop));
    loop.spawn("heartbeat", send_heartbeat(*clients.back()));
  }
  loop.run();
  EXPECT_EQ(answered, workers);
}

TEST(ConnectionPolicy, FleetFitsTheConnections_WorkersKept) {
  EXPECT_FALSE(closes_after_answer(Requester::worker, {600, 600, 64}));
  EXPECT_TRUE(closes_after_answer(Requester::worker, {600, 600, 4000}));
  EXPECT_FALSE(closes_after_answer(Requester::worker, {100, 600, 4000}));
  EXPECT_TRUE(closes_after_answer(Requester::user, {500, 600, 64}));
  EXPECT_FALSE(closes_after_answer(Requester::user, {400, 600, 64}));
}

// A message with the teams of all regions may be longer than the limit of unsent bytes.
TEST(Stream, LongMessageOnAnIdleLink_Delivered) {
  EventLoop loop;
  constexpr size_t length = 200000;
  size_t received_bytes = 0;
  auto receive = [&](std::string_view bytes) -> long {
    if (bytes.size() < length) return 0;
    received_bytes = bytes.size();
    loop.stop();
    return static_cast<long>(bytes.size());
  };
  // Finds the first free port.
  Endpoint endpoint{"127.0.0.1", 47391};
  std::unique_ptr<EventStreamListener> listener;
  for (int tries = 0; tries < 100 && (!listener || !listener->listening()); ++tries) {
    ++endpoint.port;
    listener = std::make_unique<EventStreamListener>(loop, endpoint, 2, receive);
  }
  ASSERT_TRUE(listener->listening());
  EventStreamLink link(loop, endpoint);
  auto stop_after_timeout = [&]() -> Task<void> {
    co_await Sleep(loop, 20, loop.stop_token());
    loop.stop();
  };
  loop.spawn("timeout", stop_after_timeout());
  link.send(std::string(length, 'x'));
  loop.run();
  EXPECT_EQ(received_bytes, length);
}

TEST(OpenFileLimit, RaisedBeyondTheHardLimit_SetToTheHardLimit) {
  const size_t before = ensure_open_file_limit(0);
  ASSERT_GT(before, 0u);
  EXPECT_GE(ensure_open_file_limit(before), before);
  const size_t limit = ensure_open_file_limit(std::numeric_limits<int>::max());
  EXPECT_GE(limit, before);
  EXPECT_EQ(ensure_open_file_limit(0), limit);
}

TEST(Endpoint, TextIsNotIpv4AndPort_NotParsed) {
  Endpoint e;
  EXPECT_TRUE(parse_endpoint("10.0.0.1:80", e));
  for (const char* bad : {"host:80", "10.0.0.1", "10.0.0.1:x", "10.0.0.1:70000", ":80"})
    EXPECT_FALSE(parse_endpoint(bad, e)) << bad;
}

}  // namespace
}  // namespace damsonport
