// The server and the client over real loopback sockets on a free port.
#include <gtest/gtest.h>

#include "transport/event_http.hpp"

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
  HttpReply ask(Method method, std::string path, std::string body) {
    HttpReply reply;
    loop.spawn("ask", run(method, std::move(path), std::move(body), &reply));
    loop.run();
    return reply;
  }
  Task<void> run(Method method, std::string path, std::string body, HttpReply* out) {
    *out = co_await client.request(at, method, std::move(path), std::move(body), 5.0);
    loop.stop();
  }
};

TEST(Http, CarriesABodyThereAndBack) {
  Fixture f;
  auto reply = f.ask(Method::post, "/x?y=1", "hello");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, "hello");
}

TEST(Http, AWrongMethodReachesTheHandler) {
  Fixture f;
  EXPECT_EQ(f.ask(Method::get, "/x", "").status, 405);
}

TEST(Http, ABodyOverTheLimitIsNotHandled) {
  Fixture f;
  EXPECT_NE(f.ask(Method::post, "/x", std::string(5000, 'a')).status, 200);
}

// What is kept open is bounded by what others leave, and the least used goes first.
TEST(Http, IdleConnectionsStayWithinTheirBound) {
  Fixture f;
  EventHttpServer other(f.loop, 1000, 16, 10,
                        [](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse{}; });
  ASSERT_TRUE(other.bind({"127.0.0.1", 0}));
  size_t most = 2;
  f.client.bound_idle([&] { return most; });
  auto ask_all = [&](Endpoint first, Endpoint second) -> Task<void> {
    co_await f.client.request(first, Method::post, "/", "x", 5.0);
    co_await f.client.request(second, Method::post, "/", "x", 5.0);
    f.loop.stop();
  };
  f.loop.spawn("ask", ask_all(f.at, {"127.0.0.1", other.port()}));
  f.loop.run();
  EXPECT_EQ(f.client.idle(), 2u);
  EXPECT_EQ(f.client.in_use(), 0u);
  most = 1;
  f.ask(Method::post, "/", "x");
  EXPECT_EQ(f.client.idle(), 1u);
}

TEST(Http, AConnectionThatIsNotToBeKeptIsClosed) {
  Fixture f;
  f.ask(Method::post, "/last", "x");
  EXPECT_EQ(f.server.open(), 0u);
}

TEST(Http, NobodyThereIsNoAnswer) {
  Fixture f;
  f.at.port = 1;
  EXPECT_FALSE(f.ask(Method::post, "/x", "hello").answered());
}

TEST(Endpoints, AreIpv4InNumbers) {
  Endpoint e;
  EXPECT_TRUE(parse_endpoint("10.0.0.1:80", e));
  for (const char* bad : {"host:80", "10.0.0.1", "10.0.0.1:x", "10.0.0.1:70000", ":80"})
    EXPECT_FALSE(parse_endpoint(bad, e)) << bad;
}

}  // namespace
}  // namespace damsonport
