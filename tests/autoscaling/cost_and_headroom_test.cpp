/// Cost account of the fleet, expected arrivals and target headroom.
#include <gtest/gtest.h>

#include <cmath>

#include "coordination/autoscaling/cost_account.hpp"
#include "coordination/autoscaling/headroom.hpp"

namespace damsonport {
namespace {

MachineType type(const std::string& name, double price, double spot_price) {
  MachineType t;
  t.name = name, t.price = price, t.spot_price = spot_price;
  return t;
}

autoscaling::MachineState machine(const std::string& type, bool spot, double free_gpus) {
  autoscaling::MachineState m;
  m.type = type, m.zone = "a", m.spot = spot;
  m.total = {64, 8, 256};
  m.free = {64, free_gpus, 256};
  return m;
}

TEST(CostAccount, SplitsCostByMachineUse) {
  CostAccount account;
  account.begin_lease(100);
  auto booting = machine("g", false, 8);
  booting.booting = true;
  const std::vector<MachineType> types{type("g", 20, 8)};
  account.charge({booting, machine("g", false, 2), machine("g", true, 8)}, types, 100 + 1800);
  EXPECT_DOUBLE_EQ(account.spent().booting, 10);
  EXPECT_DOUBLE_EQ(account.spent().in_use, 7.5);
  EXPECT_DOUBLE_EQ(account.spent().idle, 2.5 + 4);
  // A machine that no longer exists adds no cost, but its earlier cost remains in the account.
  account.charge({machine("g", true, 0)}, types, 100 + 3600);
  EXPECT_DOUBLE_EQ(account.spent().total(), 24 + 4);
  double by_kind = 0;
  for (auto& [name, kind] : account.kinds()) by_kind += kind.spent.total();
  EXPECT_DOUBLE_EQ(by_kind, account.spent().total());
  EXPECT_EQ(account.kinds().at("g in a").machines, 0U);
}

TEST(CostAccount, NewLeaseStartsAtZero) {
  CostAccount account;
  account.begin_lease(0);
  account.charge({machine("g", false, 8)}, {type("g", 20, 8)}, 3600);
  account.begin_lease(7200);
  account.charge({machine("g", false, 8)}, {type("g", 20, 8)}, 7200 + 360);
  EXPECT_DOUBLE_EQ(account.spent().total(), 2);
}

TEST(CostAccount, ReportsAtIntervals) {
  CostAccount account;
  account.begin_lease(0);
  account.charge({machine("g", false, 2)}, {type("g", 20, 8)}, 3600);
  const auto line = account.report(3600, 22);
  ASSERT_TRUE(line);
  EXPECT_NE(line->find("20.00 (booting 0.00, in use 15.00, idle 5.00) an hour"), std::string::npos);
  EXPECT_NE(line->find("1 g in a"), std::string::npos);
  EXPECT_FALSE(account.report(3621, 22));
  EXPECT_TRUE(account.report(3622, 22));
}

TEST(Headroom, CoversArrivalsDuringBootAndTheirDeviation) {
  // One job with 4 units arrives in each of five boot times. A boot is assumed to take 1.5 times
  // the boot time.
  std::vector<headroom::Arrival> arrivals;
  arrivals.reserve(6);
  for (int i = 0; i < 5; ++i) arrivals.push_back({60.0 * i + 30, 4});
  arrivals.push_back({10000, 1000});  // outside the window
  EXPECT_DOUBLE_EQ(headroom::expected_arrivals(arrivals, 60, 0), 6);
  EXPECT_NEAR(headroom::expected_arrivals(arrivals, 60, 2), 6 + 2 * std::sqrt(24), 1e-9);
  EXPECT_DOUBLE_EQ(headroom::expected_arrivals({}, 60, 2), 0);
}

TEST(Headroom, IsBoundedByUseAndPrice) {
  headroom::HeadroomInput input;
  input.in_use = 100, input.unit_price = 2, input.fleet_price = 200;
  input.expected = 15;
  EXPECT_DOUBLE_EQ(headroom::target_headroom(input, 0.25, 0.05), 15);
  input.expected = 60;
  EXPECT_DOUBLE_EQ(headroom::target_headroom(input, 0.25, 0.05), 25);
  input.expected = 0;
  EXPECT_DOUBLE_EQ(headroom::target_headroom(input, 0.25, 0.05), 5);
  input.unit_price = 0.05;
  EXPECT_DOUBLE_EQ(headroom::target_headroom(input, 0.25, 0.05), 25);
}

}  // namespace
}  // namespace damsonport
