// The server and the client over real loopback sockets on a free port.
#include <gtest/gtest.h>

#include <limits>

#include "coordination/leadership/connection_policy.hpp"
#include "transport/event_http.hpp"
#include "transport/event_stream.hpp"
#include "transport/open_file_limit.hpp"

namespace damsonport {
namespace {

struct Fixture {
  EventLoop loop;
  EventHttpClient client{loop};
  EventHttpServer server;
  Endpoint at;
  Fixture()
      : server(loop, 1000, 16, 10, [](HttpRequest r) -> Task<HttpResponse> {
          HttpResponse out{r.method == Method::post ? 200 : 405, r.body, 0};
          out.close = r.path == "/last";
          if (r.path == "/busy") out.status = 503, out.retry_after_s = 1;
          co_return out;
        }) {
    EXPECT_TRUE(server.bind({"127.0.0.1", 0}));
    at = {"127.0.0.1", server.port()};
  }
  HttpClientResponse ask(Method method, std::string path, std::string body) {
    HttpClientResponse reply;
    loop.spawn("ask", run(method, std::move(path), std::move(body), &reply));
    loop.run();
    return reply;
  }
  Task<void> run(Method method, std::string path, std::string body, HttpClientResponse* out) {
    *out = co_await client.request(at, method, std::move(path), std::move(body), 5.0);
    loop.stop();
  }
};

TEST(Http, BodySent_ReturnedByTheHandler) {
  Fixture f;
  auto reply = f.ask(Method::post, "/x?y=1", "hello");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, "hello");
}

TEST(Http, MethodNotServed_ReachesTheHandler) {
  Fixture f;
  EXPECT_EQ(f.ask(Method::get, "/x", "").status, 405);
}

TEST(Http, BodyOverTheLimit_NotHandled) {
  Fixture f;
  EXPECT_NE(f.ask(Method::post, "/x", std::string(5000, 'a')).status, 200);
}

// What is kept open is bounded by what others leave, and the least used goes first.
TEST(Http, IdleConnectionsOverTheBound_OldestClosed) {
  Fixture f;
  EventHttpServer other(f.loop, 1000, 16, 10,
                        [](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse{}; });
  ASSERT_TRUE(other.bind({"127.0.0.1", 0}));
  size_t most = 2;
  f.client.set_idle_limit([&] { return most; });
  auto ask_all = [&](Endpoint first, Endpoint second) -> Task<void> {
    co_await f.client.request(first, Method::post, "/", "x", 5.0);
    co_await f.client.request(second, Method::post, "/", "x", 5.0);
    f.loop.stop();
  };
  f.loop.spawn("ask", ask_all(f.at, {"127.0.0.1", other.port()}));
  f.loop.run();
  EXPECT_EQ(f.client.idle_connections(), 2u);
  EXPECT_EQ(f.client.requests_in_progress(), 0u);
  most = 1;
  f.ask(Method::post, "/", "x");
  EXPECT_EQ(f.client.idle_connections(), 1u);
}

TEST(Http, ResponseWithClose_ConnectionClosed) {
  Fixture f;
  f.ask(Method::post, "/last", "x");
  EXPECT_EQ(f.server.open_connections(), 0u);
}

// How old a report may be rests on it.
TEST(Http, ConnectionReused_RequestCarriesThePreviousAnswerTime) {
  EventLoop loop;
  std::vector<double> previous, answered;
  EventHttpServer server(loop, 1000, 16, 10, [&](HttpRequest r) -> Task<HttpResponse> {
    previous.push_back(r.previous_response_at);
    answered.push_back(loop.now());
    co_return HttpResponse{200, {}, 0, r.path == "/last"};
  });
  ASSERT_TRUE(server.bind({"127.0.0.1", 0}));
  EventHttpClient client(loop);
  const Endpoint at{"127.0.0.1", server.port()};
  auto ask_thrice = [&]() -> Task<void> {
    co_await client.request(at, Method::post, "/", "x", 5.0);
    co_await client.request(at, Method::post, "/last", "x", 5.0);
    co_await client.request(at, Method::post, "/", "x", 5.0);
    loop.stop();
  };
  loop.spawn("ask", ask_thrice());
  loop.run();
  ASSERT_EQ(previous.size(), 3u);
  EXPECT_EQ(previous[0], 0);
  EXPECT_GE(previous[1], answered[0]);
  EXPECT_LE(previous[1], answered[1]);
  EXPECT_EQ(previous[2], 0) << "on a connection of its own";
}

TEST(Http, NobodyListens_NoAnswer) {
  Fixture f;
  f.at.port = 1;
  EXPECT_FALSE(f.ask(Method::post, "/x", "hello").answered());
}

// More workers than connections: each is closed after its report, so all are answered.
TEST(Http, MoreWorkersThanConnections_AllAnswered) {
  constexpr size_t connections = 4, workers = 24;
  EventLoop loop;
  EventHttpServer* running = nullptr;
  EventHttpServer server(loop, 1000, connections, 60, [&](HttpRequest) -> Task<HttpResponse> {
    HttpResponse out;
    out.close =
        closes_after_answer(Requester::worker, {running->open_connections(), connections, workers});
    co_return out;
  });
  running = &server;
  ASSERT_TRUE(server.bind({"127.0.0.1", 0}));
  const Endpoint at{"127.0.0.1", server.port()};
  // A worker of its own each, which keeps its connection open when it may.
  std::vector<std::unique_ptr<EventHttpClient>> clients;
  size_t answered = 0, ended = 0;
  auto report = [&](EventHttpClient& client) -> Task<void> {
    answered += (co_await client.request(at, Method::post, "/hello", "x", 4.0)).status == 200;
    if (++ended == workers) loop.stop();
  };
  for (size_t i = 0; i < workers; ++i) {
    clients.push_back(std::make_unique<EventHttpClient>(loop));
    loop.spawn("report", report(*clients.back()));
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

// Longer than what may queue up: the teams of all regions in one message.
TEST(Streams, LongMessageOnAnIdleLink_Delivered) {
  EventLoop loop;
  constexpr size_t length = 200000;
  size_t seen = 0;
  auto take = [&](std::string_view bytes) -> long {
    if (bytes.size() < length) return 0;
    seen = bytes.size();
    loop.stop();
    return static_cast<long>(bytes.size());
  };
  // The first port that is free.
  Endpoint at{"127.0.0.1", 47391};
  std::unique_ptr<EventStreamListener> listener;
  for (int tries = 0; tries < 100 && (!listener || !listener->listening()); ++tries) {
    ++at.port;
    listener = std::make_unique<EventStreamListener>(loop, at, 2, take);
  }
  ASSERT_TRUE(listener->listening());
  EventStreamLink link(loop, at);
  auto give_up = [&]() -> Task<void> {
    co_await Sleep(loop, 20, loop.stop_token());
    loop.stop();
  };
  loop.spawn("give up", give_up());
  link.send(std::string(length, 'x'));
  loop.run();
  EXPECT_EQ(seen, length);
}

TEST(OpenFileLimit, RaisedBeyondTheHardLimit_StopsAtIt) {
  const size_t before = ensure_open_file_limit(0);
  ASSERT_GT(before, 0u);
  EXPECT_GE(ensure_open_file_limit(before), before);
  const size_t most = ensure_open_file_limit(std::numeric_limits<int>::max());
  EXPECT_GE(most, before);
  EXPECT_EQ(ensure_open_file_limit(0), most);
}

TEST(Endpoint, TextIsNotIpv4AndPort_NotParsed) {
  Endpoint e;
  EXPECT_TRUE(parse_endpoint("10.0.0.1:80", e));
  for (const char* bad : {"host:80", "10.0.0.1", "10.0.0.1:x", "10.0.0.1:70000", ":80"})
    EXPECT_FALSE(parse_endpoint(bad, e)) << bad;
}

}  // namespace
}  // namespace damsonport
