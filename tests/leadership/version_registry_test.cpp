#include "coordination/leadership/version_registry.hpp"

#include <gtest/gtest.h>

#include "transport/event_http.hpp"

namespace damsonport {
namespace {

const StateLimits store_limits{100, 100, 16, 12};
const StateLimitSettings limits{store_limits, store_limits};

// Features that an older controller doesn't understand must not be used before every controller has
// recorded the new version.
TEST(VersionRegistry, RequiresEveryControllerOfTheSettings) {
  EventLoop loop;
  EventHttpClient http(loop);
  KeyValueClient store(loop, http, {"127.0.0.1", 1}, limits);
  RecordCache cache(loop, 0, 50);
  Settings settings;
  settings.controller_name = "n0";
  settings.peers = {{"n1", "a", {}}, {"n2", "a", {}}};
  VersionRegistry registry(loop, settings, store, cache);
  EXPECT_FALSE(registry.all_have_recorded(VersionRegistry::gangs));
  cache.apply({keys::version("n0"), {{"v", 1}}, 5, 0});
  cache.apply({keys::version("n1"), {{"v", 1}}, 6, 0});
  cache.apply({keys::version("stranger"), {{"v", 1}}, 7, 0});
  EXPECT_FALSE(registry.all_have_recorded(VersionRegistry::gangs));
  cache.apply({keys::version("n2"), {{"v", 2}}, 8, 0});
  EXPECT_TRUE(registry.all_have_recorded(VersionRegistry::gangs));
  EXPECT_FALSE(registry.all_have_recorded(2));
}

}  // namespace
}  // namespace damsonport
