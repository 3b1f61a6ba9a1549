#include "coordination/leadership/renewal_policy.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

// A machine is never answered once the staleness has reached the bound. Below the bound, a machine
// is redirected only if another controller is expected to serve the machine better.
TEST(RenewalPolicy, RedirectsAtTheStalenessBoundWhateverElseHolds) {
  const double bound = staleness_bound_s(42, 12);
  EXPECT_GT(bound, 0);
  EXPECT_LT(bound + 12, 42);
  for (bool reaches_store : {false, true})
    for (bool peer_reaches_store : {false, true})
      for (bool is_isolated : {false, true})
        for (bool is_first_heartbeat : {false, true}) {
          EXPECT_EQ(decide_renewal(
                        {reaches_store, peer_reaches_store, is_isolated, is_first_heartbeat, bound},
                        bound),
                    RenewalDecision::redirect);
          const bool other_controller_preferred =
              !reaches_store && (peer_reaches_store || (is_isolated && is_first_heartbeat));
          EXPECT_EQ(
              decide_renewal(
                  {reaches_store, peer_reaches_store, is_isolated, is_first_heartbeat, bound - 0.1},
                  bound),
              other_controller_preferred ? RenewalDecision::redirect : RenewalDecision::renew);
        }
}

}  // namespace
}  // namespace damsonport
