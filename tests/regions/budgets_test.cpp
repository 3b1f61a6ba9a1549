// The pure parts of dividing limits among regions: settings, codec, first division and policy.
#include <gtest/gtest.h>

#include "coordination/budgets/budget_policy.hpp"
#include "coordination/budgets/initial_parts.hpp"
#include "protocol/region_message.hpp"
#include "storage/budget_record.hpp"

namespace damsonport::budgets {
namespace {

const char* const two_regions = R"(; a comment
(regions
  (region north (share 2) (zones a b) (controller quay-0 "10.0.0.1:8082"))
  (region south (share 1) (zones c) (controller pier-0 "10.4.0.1:8082")
                                    (controller pier-1 "10.4.0.2:8082"))))";

TEST(RegionSettings, AControllerBelongsToTheRegionOfItsZone) {
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
  for (auto& [text, complaint] : bad) {
    auto settings = parse_regions(text, "a");
    ASSERT_FALSE(settings) << text;
    EXPECT_NE(settings.error().find(complaint), std::string::npos) << settings.error();
  }
}

TEST(InitialParts, AreAllPartsExactlyAndWholeUnits) {
  auto regions = parse_regions(two_regions, "a")->regions;
  regions.push_back({"later", 0, {"d"}, {}});
  for (double limit : {1.0, 2.0, 16.0, 47.0, 48.0, 99.5, 12345.0}) {
    const auto parts = initial_parts(limit, regions);
    EXPECT_EQ(parts[0] + parts[1] + parts[2], all_parts) << limit;
    EXPECT_EQ(parts[2], 0u);
    EXPECT_NEAR(amount_of(parts[1], limit), std::round(amount_of(parts[1], limit)), 1e-6) << limit;
  }
  EXPECT_EQ(initial_parts(0, regions), std::vector<uint64_t>(3, 0));
}

TEST(InitialParts, SharesOfAGuaranteeFitIntoThoseOfTheLimit) {
  auto regions = parse_regions(two_regions, "a")->regions;
  for (double limit : {3.0, 16.0, 50.0})
    for (double guarantee = 0; guarantee <= limit; ++guarantee) {
      const auto shares = guarantee_shares(guarantee, limit, regions);
      const auto parts = initial_parts(limit, regions);
      EXPECT_LE(shares[0] + shares[1], guarantee + 1e-9);
      for (size_t i : {0, 1}) EXPECT_LE(shares[i], amount_of(parts[i], limit) + 1e-6);
    }
}

TEST(RegionMessage, IsReadAsItWasWritten) {
  RegionMessage message{"north", "south", "quay-0", 41, 7, {}};
  message.teams.push_back({"t", {1, 2}, {3, 4}, {5, 6}, {7, 8}, {9, 10}, {11, all_parts}});
  const auto bytes = encode_region_message(message);
  RegionMessage read;
  size_t used = 0;
  for (size_t size = 0; size < bytes.size(); ++size)
    EXPECT_EQ(decode_region_message(std::string_view(bytes).substr(0, size), read, used),
              Framed::partial);
  ASSERT_EQ(decode_region_message(bytes + "x", read, used), Framed::whole);
  EXPECT_EQ(used, bytes.size());
  EXPECT_EQ(read.region, "north");
  EXPECT_EQ(read.receiver, "south");
  EXPECT_EQ(read.term, 41u);
  ASSERT_EQ(read.teams.size(), 1u);
  EXPECT_EQ(read.teams[0].ask, (BudgetParts{11, all_parts}));
  EXPECT_EQ(read.teams[0].received, (BudgetParts{3, 4}));
}

TEST(RegionMessage, AnotherVersionIsPassedOver) {
  const std::string later = encode_frame(std::string("\x02whatever", 9));
  RegionMessage read;
  size_t used = 0;
  ASSERT_EQ(decode_region_message(later, read, used), Framed::whole);
  EXPECT_EQ(used, later.size());
  EXPECT_TRUE(read.region.empty());
}

TEST(RegionMessage, ATruncatedBodyIsBad) {
  RegionMessage message{"north", "south", "quay-0", 41, 7, {}};
  message.teams.push_back({"t", {1, 2}, {3, 4}, {5, 6}, {7, 8}, {9, 10}, {11, 12}});
  const auto whole = encode_region_message(message);
  const std::string body = whole.substr(1);
  RegionMessage read;
  size_t used = 0;
  for (size_t size = 1; size < body.size(); ++size)
    EXPECT_EQ(decode_region_message(encode_frame(body.substr(0, size)), read, used), Framed::bad);
}

TEST(BudgetRecord, IsReadAsItWasWritten) {
  BudgetRecord record{{10, 20}, {{"south", {1, 2}}}, {{"south", {3, 4}}, {"west", {5, 6}}}};
  EXPECT_EQ(decode_budget(encode_budget(record)), record);
  EXPECT_EQ(record.parts(), (BudgetParts{17, 28}));
}

TEST(BudgetPolicy, KeepsWhatItUsesNeedsAndHasGuaranteed) {
  Standing s{.budget = 100, .used = 30, .guaranteed = 20, .urgent_need = 5, .need = 25};
  EXPECT_EQ(spare(s, false).urgent, 65u);
  EXPECT_EQ(spare(s, false).any, 45u);
  s.recent_peak = 90;
  EXPECT_EQ(spare(s, false).any, 10u);
  EXPECT_EQ(spare(s, false).urgent, 65u) << "what was needed lately gives way to urgent work";
  s.guaranteed = 80;
  EXPECT_EQ(spare(s, false).urgent, 20u);
  s.used = 120;
  EXPECT_EQ(spare(s, false).urgent, 0u) << "more in use than the budget: nothing to give";
}

TEST(BudgetPolicy, GivesWhatWasAskedAndNotYetGiven) {
  const Spare can{50, 10};
  EXPECT_EQ(decide_gift(can, {0, 30}, 0), 10u);
  EXPECT_EQ(decide_gift(can, {30, 30}, 0), 30u);
  EXPECT_EQ(decide_gift(can, {80, 80}, 0), 50u);
  EXPECT_EQ(decide_gift(can, {30, 30}, 25), 5u);
  EXPECT_EQ(decide_gift(can, {30, 30}, 40), 0u);
}

TEST(BudgetPolicy, AsksNobodyForMoreThanItToldAndNothingTwice) {
  const auto asks = divide_asks({20, 50}, {{0, 0}, {15, 10}, {40, 30}});
  uint64_t urgent = 0, any = 0;
  for (auto& ask : asks) urgent += ask.urgent, any += ask.any;
  EXPECT_EQ(urgent, 20u);
  EXPECT_LE(any, 50u);
  EXPECT_EQ(asks[0].any, 0u);
  EXPECT_EQ(asks[2].urgent, 20u) << "the one that can spare most is asked first";
  EXPECT_LE(asks[1].any, 15u);
  EXPECT_GE(any, 40u);
}

TEST(BudgetPolicy, OfTwoWithTooLittleOneGivesWay) {
  Standing s{.budget = 10, .used = 8, .need = 40, .smallest = 4};
  EXPECT_EQ(spare(s, false).any, 0u);
  EXPECT_EQ(spare(s, true).any, 2u);
  s.budget = 12;
  EXPECT_EQ(spare(s, true).any, 0u) << "a task fits";
}

TEST(BudgetPolicy, ThePeakIsForgotten) {
  RecentPeak peak;
  peak.note(10, 100, 20);
  peak.note(3, 109, 20);
  EXPECT_EQ(peak.value(), 10u);
  peak.note(3, 112, 20);
  EXPECT_EQ(peak.value(), 10u);
  peak.note(3, 123, 20);
  EXPECT_EQ(peak.value(), 3u);
}

}  // namespace
}  // namespace damsonport::budgets
