#include "storage/rate_limiter.hpp"

#include <gtest/gtest.h>

#include "coordination/api/arrival_rate.hpp"

namespace damsonport {
namespace {

TEST(WriteShare, FollowsDemandAndSumsToAtMostOne) {
  for (double leader : {0.0, 90.0, 900.0})
    for (double other : {0.0, 7.0, 270.0}) {
      double sum = write_share(5, leader, 4 * other);
      for (int i = 0; i < 4; ++i) sum += write_share(5, other, leader + 3 * other);
      EXPECT_LE(sum, 1 + 1e-9);
    }
  EXPECT_GT(write_share(5, 90, 0), 0.8);  // only this controller has demand
  EXPECT_GT(write_share(5, 0, 1000), 0);  // without demand, the equal part remains
}

// Many small jobs, 12.5 per second over five controllers, arrive beside a busy shard leader. If the
// demand came only from the queues of the other controllers, their write shares would rise only
// while users are already waiting.
TEST(WriteShare, CoversArrivalsBeforeAQueueForms) {
  constexpr double writes_per_s = 46, arrivals_per_s = 2.5, leader_wants = 25;
  ArrivalRate rate(1.5);
  double now = 0;
  for (; now < 6; now += 1 / arrivals_per_s) rate.note(now);
  EXPECT_NEAR(rate.at(now), arrivals_per_s, 0.5);
  const double wanted = 2 * rate.at(now);
  EXPECT_GT(write_share(5, wanted, leader_wants + 3 * wanted) * writes_per_s, arrivals_per_s);
  EXPECT_LT(rate.at(now + 10), 0.01);  // without arrivals, the demand ends
}

// After a 429 the limiter applies the announced limits for a period, which is longer after the next
// 429.
TEST(RateLimiter, LowersItsRatesForAWhileAfterARefusal) {
  class Clock : public Loop {
   public:
    explicit Clock(std::seed_seq&& seed) : Loop(seed) {}
    double now() const override { return time; }
    double unix_time() const override { return time; }
    std::unique_ptr<Timer> timer(Timer::Callback, void*) override { return nullptr; }
    double time = 100;

   private:
    void on_tasks_ended() override {}
  };
  Clock clock(std::seed_seq{1u});
  RateLimiter limiter(clock, {{100, 50, 16, 12}, {100, 35, 2, 4}});
  limiter.set_shares(1, 1);
  const double present = limiter.writes_per_s();
  limiter.on_rate_limited();
  EXPECT_NEAR(limiter.writes_per_s(), present * 35 / 50, 1e-9);
  clock.time += 29;
  limiter.set_shares(1, 1);
  EXPECT_LT(limiter.writes_per_s(), present);
  clock.time += 2;
  limiter.set_shares(1, 1);
  EXPECT_NEAR(limiter.writes_per_s(), present, 1e-9);
  // After a second refusal, the announced limits apply for a longer period.
  limiter.on_rate_limited();
  clock.time += 31;
  limiter.set_shares(1, 1);
  EXPECT_LT(limiter.writes_per_s(), present);
}

}  // namespace
}  // namespace damsonport
