// HTTP server and client, and streams, over real loopback sockets on a free port.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

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
      : server(loop, {1000, 16, 10, 10}, [](HttpRequest r) -> Task<HttpResponse> {
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
  EventHttpServer other_server(f.loop, {1000, 16, 10, 10},
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
  EventHttpServer server(loop, {1000, 16, 10, 10}, [&](HttpRequest r) -> Task<HttpResponse> {
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
  EventHttpServer server(loop, {1000, connections, 60, 10}, [&](HttpRequest) -> Task<HttpResponse> {
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

// A client that sends bytes as they are, on a connection of its own.
class RawClient {
 public:
  explicit RawClient(const Endpoint& to) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    const int result = connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    EXPECT_EQ(result, 0);
  }
  ~RawClient() { close(fd_); }
  RawClient(RawClient&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  RawClient& operator=(RawClient&&) = delete;
  void send(const std::string& bytes) const {
    EXPECT_GE(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), 0);
  }
  // Whether the server has closed the connection.
  bool is_closed() const {
    char byte = 0;
    return recv(fd_, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
  }
  std::string received() const {
    std::string out(1024, 0);
    const ssize_t size = recv(fd_, out.data(), out.size(), MSG_DONTWAIT);
    out.resize(size < 0 ? 0 : static_cast<size_t>(size));
    return out;
  }

 private:
  int fd_;
};

constexpr double request_s = 1;
constexpr size_t max_body = 1000;

struct LimitedServer {
  EventLoop loop;
  EventHttpServer server;
  EventHttpClient client{loop};
  Endpoint endpoint;
  explicit LimitedServer(size_t max_connections)
      : server(loop, {max_body, max_connections, 60, request_s},
               [](HttpRequest r) -> Task<HttpResponse> {
                 co_return HttpResponse{200, r.path, 0};
               }) {
    EXPECT_TRUE(server.bind({"127.0.0.1", 0}));
    endpoint = {"127.0.0.1", server.port()};
  }
  // Each step runs in the loop, then the loop goes on for a time.
  Task<void> wait(double seconds) { co_await Sleep(loop, seconds, loop.stop_token()); }
  void run(Task<void> task) {
    auto run_and_stop = [](Task<void> inner, EventLoop& stopped) -> Task<void> {
      co_await inner;
      stopped.stop();
    };
    loop.spawn("test", run_and_stop(std::move(task), loop));
    loop.run();
  }
};

TEST(SlowRequest, ByteByByteBeyondItsTime_Closed) {
  LimitedServer f(16);
  std::vector<RawClient> clients;
  auto steps = [&]() -> Task<void> {
    clients.emplace_back(f.endpoint).send("POST /a HTTP/1.1\r\nContent-Length: 500\r\n\r\n");
    clients.emplace_back(f.endpoint).send("PO");
    for (int i = 0; i < 6; ++i) {
      co_await f.wait(request_s / 8);
      for (auto& client : clients) client.send("x");
    }
    EXPECT_FALSE(clients[0].is_closed() || clients[1].is_closed());
    co_await f.wait(request_s / 2);
    EXPECT_TRUE(clients[0].is_closed() && clients[1].is_closed());
    EXPECT_EQ(f.server.open_connections(), 0u);
  };
  f.run(steps());
}

TEST(SlowRequest, RestArrivedWhileTheProcessWasPaused_Answered) {
  LimitedServer f(16);
  auto steps = [&]() -> Task<void> {
    RawClient client(f.endpoint);
    client.send("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nx");
    co_await f.wait(0.2);
    client.send("y");
    usleep(static_cast<useconds_t>(request_s * 1.3 * 1e6));
    co_await f.wait(request_s * 1.5);  // counts from before the pause
    EXPECT_NE(client.received().find("200"), std::string::npos);
  };
  f.run(steps());
}

TEST(SlowRequest, SecondOnTheSameConnection_Closed) {
  LimitedServer f(16);
  auto steps = [&]() -> Task<void> {
    RawClient client(f.endpoint);
    client.send("GET /a HTTP/1.1\r\n\r\n");
    co_await f.wait(request_s * 2);
    EXPECT_NE(client.received().find("200"), std::string::npos);
    EXPECT_FALSE(client.is_closed()) << "an idle connection stays open";
    client.send("GET /b");
    co_await f.wait(request_s * 1.5);
    EXPECT_TRUE(client.is_closed());
  };
  f.run(steps());
}

TEST(HalfSentRequests, MoreThanConnections_WholeRequestsAnsweredWithinASecond) {
  constexpr size_t max_connections = 20;
  LimitedServer f(max_connections);
  auto steps = [&]() -> Task<void> {
    RawClient idle(f.endpoint);
    idle.send("GET /idle HTTP/1.1\r\n\r\n");
    co_await f.wait(0.1);
    std::vector<RawClient> half_sent;
    for (size_t i = 0; i < 2 * max_connections; ++i) {
      half_sent.emplace_back(f.endpoint).send("POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
      if (half_sent.size() % 10 == 0) co_await f.wait(0.06);
    }
    const double asked_at = f.loop.now();
    const auto reply = co_await f.client.request(f.endpoint, Method::get, "/healthz", {}, 5);
    EXPECT_EQ(reply.status, 200);
    EXPECT_LT(f.loop.now() - asked_at, 1.0);
    EXPECT_LE(f.server.open_connections(), max_connections + 1);
    EXPECT_NE(idle.received().find("200"), std::string::npos);
    EXPECT_FALSE(idle.is_closed()) << "it has sent a whole request";
  };
  f.run(steps());
}

TEST(HalfSentRequests, BodiesTogetherOverTheLimit_MemoryBounded) {
  LimitedServer f(400);
  auto steps = [&]() -> Task<void> {
    std::vector<RawClient> clients;
    constexpr size_t sent_bytes = 900;
    for (int i = 0; i < 200; ++i)
      clients.emplace_back(f.endpoint)
          .send("POST /a HTTP/1.1\r\nContent-Length: 999\r\n\r\n" + std::string(sent_bytes, 'x'));
    co_await f.wait(request_s / 4);
    constexpr size_t max_incomplete_bytes = 64 * max_body;
    EXPECT_LE(f.server.open_connections() * sent_bytes, max_incomplete_bytes);
    EXPECT_GT(f.server.open_connections() * sent_bytes, max_incomplete_bytes / 2);
  };
  f.run(steps());
}

TEST(Http, RequestLineInAbsoluteForm_PathAndQueryServed) {
  LimitedServer f(16);
  auto steps = [&]() -> Task<void> {
    RawClient client(f.endpoint);
    client.send("GET http://10.0.0.1:80/api/jobs?x=1 HTTP/1.1\r\nHost: 10.0.0.1\r\n\r\n");
    co_await f.wait(0.2);
    const std::string reply = client.received();
    EXPECT_NE(reply.find("200"), std::string::npos) << reply;
    EXPECT_TRUE(reply.ends_with("/api/jobs")) << reply;
  };
  f.run(steps());
}

TEST(Http, MalformedHalfSentResetAndPipelinedRequests_SoundOnesAnswered) {
  LimitedServer f(64);
  auto steps = [&]() -> Task<void> {
    const std::string requests[] = {
        std::string("\x16\x03\x01\x00\xff", 5),
        "GET\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "GET /a HTTP/1.1\r\n" + std::string(20000, 'h') + ": 1\r\n\r\n",
        "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HT"};
    for (int round = 0; round < 3; ++round) {
      std::vector<RawClient> clients;
      for (const std::string& request : requests) {
        clients.emplace_back(f.endpoint).send(request);
        RawClient reset(f.endpoint);
        reset.send(request.substr(0, request.size() / 2));
      }
      const auto reply = co_await f.client.request(f.endpoint, Method::get, "/x", {}, 1);
      EXPECT_EQ(reply.status, 200);
      co_await f.wait(0.05);
    }
    co_await f.wait(request_s * 1.5);
    EXPECT_LE(f.server.open_connections(), 1u) << "only the connection that sent whole requests";
  };
  f.run(steps());
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
