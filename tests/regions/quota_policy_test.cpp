// Tests of the pure functions that divide limits among regions: regions file, message and record
// encoding, initial units and transfer policy.
#include "coordination/quotas/quota_policy.hpp"

#include <gtest/gtest.h>

#include "coordination/quotas/initial_units.hpp"
#include "protocol/region_message.hpp"
#include "storage/quota_record.hpp"

namespace damsonport::quotas {
namespace {

const char* const two_regions = R"(; a comment
(regions
  (region north (share 2) (zones a b) (controller quay-0 "10.0.0.1:8082"))
  (region south (share 1) (zones c) (controller pier-0 "10.4.0.1:8082")
                                    (controller pier-1 "10.4.0.2:8082"))))";

TEST(RegionSettings, ControllerBelongsToTheRegionOfItsZone) {
  auto settings = parse_regions(two_regions, "c");
  ASSERT_TRUE(settings) << settings.error();
  EXPECT_EQ(settings->own().name, "south");
  ASSERT_NE(settings->controller("pier-1"), nullptr);
  EXPECT_EQ(settings->controller("pier-1")->endpoint.text(), "10.4.0.2:8082");
  EXPECT_EQ(settings->controller("quay-0"), nullptr);
  EXPECT_EQ(settings->index_of("north"), 0u);
}

TEST(RegionSettings, ErrorsNameTheLineAndTheEntry) {
  const std::pair<const char*, const char*> bad[] = {
      {"(regions\n(region north (zones a)))", "line 2: region north: share is missing"},
      {"(regions\n\n(region north (share x) (zones a)))", "line 3: region north: share must be"},
      {"(regions (region north (share 1)))", "line 1: region north: zones is missing"},
      {"(regions (region north (share 1) (zones a) (colour red)))", "unknown entry 'colour'"},
      {"(regions (region n (share 1) (zones a) (controller x \"here\")))", "expected (controller"},
      {"(regions (region n (share 1) (zones a)) (region m (share 1) (zones a)))",
       "zone a is in two regions"},
      {"(regions (region n (share 1) (zones a)) (region n (share 1) (zones b)))",
       "region n is named twice"},
      {"(regions (region n (share 0) (zones a)))", "share 0"},
      {"(regions (region n (share 1) (zones b)))", "no region lists the zone a"},
      {"(regions (region n (share 1) (zones a))", "'(' is not closed"},
      {"(areas)", "expected (regions ...)"}};
  for (auto& [text, problem] : bad) {
    auto settings = parse_regions(text, "a");
    ASSERT_FALSE(settings) << text;
    EXPECT_NE(settings.error().find(problem), std::string::npos) << settings.error();
  }
}

TEST(InitialUnits, SumToAllUnitsAndFollowShares) {
  auto regions = parse_regions(two_regions, "a")->regions;
  regions.push_back({"later", 0, {"d"}, {}});
  for (uint64_t share : {1, 2, 3, 7, 999983, 1000000}) {
    regions[1].share = share;
    const auto units = initial_units(regions);
    EXPECT_EQ(units[0] + units[1] + units[2], total_quota_units) << share;
    EXPECT_EQ(units[2], 0u);
    const double expected = static_cast<double>(share) / static_cast<double>(share + 2);
    EXPECT_NEAR(amount_of(units[1], 1), expected, 1e-9) << share;
  }
  regions.assign(8, {"all", 1000000, {"z"}, {}});
  uint64_t sum = 0;
  for (uint64_t units : initial_units(regions)) sum += units;
  EXPECT_EQ(sum, total_quota_units);
}

TEST(InitialUnits, GuaranteeSharesSumToTheGuarantee) {
  auto regions = parse_regions(two_regions, "a")->regions;
  for (double guarantee : {0.0, 1.0, 2.0, 16.0, 49.5}) {
    const auto shares = guarantee_shares(guarantee, regions);
    EXPECT_DOUBLE_EQ(shares[0] + shares[1], guarantee);
    EXPECT_NEAR(shares[1], guarantee / 3, 1);
  }
}

TEST(RegionMessage, RoundTrips) {
  RegionMessage message{"north", "south", "quay-0", 41, 7, {}};
  message.teams.push_back({"t", {1, 2}, {3, 4}, {5, 6}, {7, 8}, {9, 10}, {11, total_quota_units}});
  const auto bytes = encode_region_message(message);
  RegionMessage read;
  size_t used = 0;
  for (size_t size = 0; size < bytes.size(); ++size)
    EXPECT_EQ(decode_region_message(std::string_view(bytes).substr(0, size), read, used),
              FrameStatus::incomplete);
  ASSERT_EQ(decode_region_message(bytes + "x", read, used), FrameStatus::complete);
  EXPECT_EQ(used, bytes.size());
  EXPECT_EQ(read.region, "north");
  EXPECT_EQ(read.receiver, "south");
  EXPECT_EQ(read.fencing_token, 41u);
  ASSERT_EQ(read.teams.size(), 1u);
  EXPECT_EQ(read.teams[0].request, (QuotaUnits{11, total_quota_units}));
  EXPECT_EQ(read.teams[0].received, (QuotaUnits{3, 4}));
}

TEST(RegionMessage, UnknownVersionIsSkipped) {
  const std::string later = encode_frame(std::string("\x02whatever", 9));
  RegionMessage read;
  size_t used = 0;
  ASSERT_EQ(decode_region_message(later, read, used), FrameStatus::complete);
  EXPECT_EQ(used, later.size());
  EXPECT_TRUE(read.region.empty());
}

TEST(RegionMessage, TruncatedBodyIsRejected) {
  RegionMessage message{"north", "south", "quay-0", 41, 7, {}};
  message.teams.push_back({"t", {1, 2}, {3, 4}, {5, 6}, {7, 8}, {9, 10}, {11, 12}});
  const auto whole = encode_region_message(message);
  const std::string body = whole.substr(1);
  RegionMessage read;
  size_t used = 0;
  for (size_t size = 1; size < body.size(); ++size)
    EXPECT_EQ(decode_region_message(encode_frame(body.substr(0, size)), read, used),
              FrameStatus::malformed);
}

TEST(QuotaRecord, RoundTrips) {
  QuotaRecord record{{10, 20}, {{"south", {1, 2}}}, {{"south", {3, 4}}, {"west", {5, 6}}}};
  EXPECT_EQ(decode_quota(encode_quota(record)), record);
  EXPECT_EQ(record.available_units(), (QuotaUnits{17, 28}));
}

TEST(QuotaPolicy, SurplusExcludesUseNeedAndGuarantee) {
  QuotaState s{.quota = 100, .used = 30, .guaranteed = 20, .urgent_need = 5, .need = 25};
  EXPECT_EQ(surplus(s, false).urgent, 65u);
  EXPECT_EQ(surplus(s, false).any, 45u);
  s.recent_peak = 90;
  EXPECT_EQ(surplus(s, false).any, 10u);
  EXPECT_EQ(surplus(s, false).urgent, 65u) << "recent need yields to urgent work";
  s.guaranteed = 80;
  EXPECT_EQ(surplus(s, false).urgent, 20u);
  s.used = 120;
  EXPECT_EQ(surplus(s, false).urgent, 0u) << "no surplus, since more than the quota is in use";
}

TEST(QuotaPolicy, TransfersRequestedUnitsNotYetSent) {
  const Surplus can{50, 10};
  EXPECT_EQ(decide_transfer(can, {0, 30}, 0), 10u);
  EXPECT_EQ(decide_transfer(can, {30, 30}, 0), 30u);
  EXPECT_EQ(decide_transfer(can, {80, 80}, 0), 50u);
  EXPECT_EQ(decide_transfer(can, {30, 30}, 25), 5u);
  EXPECT_EQ(decide_transfer(can, {30, 30}, 40), 0u);
}

TEST(QuotaPolicy, RequestsNoMoreThanSurplusAndNothingTwice) {
  const auto requests = divide_requests({20, 50}, {{0, 0}, {15, 10}, {40, 30}});
  uint64_t urgent = 0, any = 0;
  for (auto& request : requests) urgent += request.urgent, any += request.any;
  EXPECT_EQ(urgent, 20u);
  EXPECT_LE(any, 50u);
  EXPECT_EQ(requests[0].any, 0u);
  EXPECT_EQ(requests[2].urgent, 20u) << "the region with the largest surplus is used first";
  EXPECT_LE(requests[1].any, 15u);
  EXPECT_GE(any, 40u);
}

TEST(QuotaPolicy, OneOfTwoRegionsWithTooLittleQuotaDefers) {
  QuotaState s{.quota = 10, .used = 8, .need = 40, .smallest_need = 4};
  EXPECT_EQ(surplus(s, false).any, 0u);
  EXPECT_EQ(surplus(s, true).any, 2u);
  s.quota = 12;
  EXPECT_EQ(surplus(s, true).any, 0u) << "the free quota is enough for a pending task";
}

TEST(QuotaPolicy, RecentPeakExpires) {
  RecentPeak peak;
  peak.add_sample(10, 100, 20);
  peak.add_sample(3, 109, 20);
  EXPECT_EQ(peak.value(), 10u);
  peak.add_sample(3, 112, 20);
  EXPECT_EQ(peak.value(), 10u);
  peak.add_sample(3, 123, 20);
  EXPECT_EQ(peak.value(), 3u);
}

}  // namespace
}  // namespace damsonport::quotas
