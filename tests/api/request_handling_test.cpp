/// Tests of the responses to malformed submissions, of the routes of the HTTP server, of the
/// estimate of the write demand and of the limiter of repeated warnings.
#include <gtest/gtest.h>

#include "api/single_controller.hpp"
#include "coordination/api/routes.hpp"
#include "coordination/api/write_demand.hpp"
#include "simulation/virtual_controller.hpp"
#include "transport/warning_limiter.hpp"

namespace damsonport::simulation {
namespace {

HttpClientResponse submit(const std::string& body) {
  World world(1);
  VirtualNetwork::Streams streams;
  VirtualController controller(world, streams, single_controller_settings(), std::nullopt, 1);
  controller.start();
  HttpClientResponse out;
  world.at(0.5, [&] {
    world.send_request("10.9.0.1", controller.host(), Method::post, "/api/jobs", body,
                       [&](const HttpClientResponse& reply) { out = reply; });
  });
  world.run_until(2);
  return out;
}

std::string error_text(const HttpClientResponse& reply) {
  const auto m = decode_map(reply.body);
  return m.is_object() ? m.value("error", std::string()) : "no CBOR map";
}

TEST(Submission, BodyIsNoMap_BadRequestWithReason) {
  for (auto& body : {encode("a text"), encode(7), encode(Json::array({1})), std::string("\xff")}) {
    const auto reply = submit(body);
    EXPECT_EQ(reply.status, 400);
    EXPECT_EQ(error_text(reply), "the body is not a CBOR map");
  }
  EXPECT_EQ(error_text(submit(encode(Json::object()))), "accelerators is missing or invalid");
}

TEST(Submission, BodyTooLong_BadRequestWithReason) {
  const auto reply = submit(encode({{"ref", std::string(70000, 'x')}}));
  EXPECT_EQ(reply.status, 400);
  EXPECT_EQ(error_text(reply), "the body is longer than 65536 bytes");
}

TEST(Route, PathKnown_ResourceMethodAndJob) {
  struct Expected {
    const char* path;
    Resource resource;
    Method method;
    const char* job;
  };
  const Expected expected[] = {
      {"/hello", Resource::worker_heartbeat, Method::post, ""},
      {"/healthz", Resource::health, Method::get, ""},
      {"/api/jobs", Resource::job_collection, Method::post, ""},
      {"/api/jobs/run-1", Resource::job, Method::get, "run-1"},
      {"/api/jobs/run-1/cancel", Resource::job_cancellation, Method::post, "run-1"},
      {"/api/jobs//cancel", Resource::job_cancellation, Method::post, ""},
  };
  for (const auto& e : expected) {
    const Route route = match_route(e.path);
    EXPECT_EQ(route.resource, e.resource) << e.path;
    EXPECT_EQ(route.method, e.method) << e.path;
    EXPECT_EQ(route.job, e.job) << e.path;
  }
}

TEST(Route, PathUnknown_NoResource) {
  for (const char* path :
       {"", "/", "/hello/", "/api", "/api/jobs/", "/api/jobsx", "/api/jobsx/run-1",
        "/api/jobs/run-1/", "/api/jobs/run-1/stop", "/api/jobs/run-1/cancel/"})
    EXPECT_EQ(match_route(path).resource, Resource::unknown) << path;
}

TEST(WriteDemand, RejectionsCountInTheirPeriodAndTheNext) {
  WriteDemand demand(1.5);
  demand.note_rejection();
  EXPECT_EQ(demand.rejected(), 1u);
  EXPECT_EQ(demand.estimate(3, 0), 3) << "rejections of the current period are not included yet";
  demand.begin_period();
  EXPECT_EQ(demand.rejected(), 1u);
  EXPECT_EQ(demand.estimate(3, 0), 4);
  demand.begin_period();
  EXPECT_EQ(demand.rejected(), 0u);
  EXPECT_EQ(demand.estimate(3, 0), 3);
}

TEST(WarningLimiter, TextRepeated_LoggedAtOnceThenAtDoublingIntervals) {
  WarningLimiter limiter;
  std::vector<std::pair<double, uint64_t>> logged;
  auto warn = [&](const char* text, double from, double until) {
    for (double t = from; t < until; t += 0.5)
      if (auto times = limiter.record(text, t)) logged.emplace_back(t, *times);
  };
  warn("status 0", 0, 40);
  warn("status 503", 40, 41);
  const std::vector<std::pair<double, uint64_t>> expected = {
      {0, 1}, {5, 10}, {15, 20}, {35, 40}, {40, 1}};
  EXPECT_EQ(logged, expected);
  limiter.clear();
  EXPECT_EQ(limiter.record("status 503", 41), 1u);
}

}  // namespace
}  // namespace damsonport::simulation
