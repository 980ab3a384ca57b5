// How the budget of requests and changes fills and empties.
#include "kvstore/rate_limiter.h"

#include <gtest/gtest.h>

#include "world/world.h"

using namespace cherryloft;

namespace {

struct RequestBudgetTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsOf(0), {});
  Time start{Duration{5'000}};
  RequestBudget budget{settings, start};
};

}  // namespace

TEST_F(RequestBudgetTest, IsAnEqualPartOfTheLimitsAtFirst) {
  EXPECT_NEAR(budget.requestsPerSecond(), settings.stateRps * 0.9 / settings.size(), 1e-9);
  EXPECT_NEAR(budget.changesPerSecond(), settings.stateWriteRps * 0.9 / settings.size(), 1e-9);
}

TEST_F(RequestBudgetTest, FillsAgainUpToOneSecond) {
  while (budget.affords(1)) budget.spend(1);
  budget.refill(start + Duration{500});
  EXPECT_TRUE(budget.affords(1));
  budget.refill(start + Duration{100'000});
  EXPECT_NEAR(budget.requests(), budget.requestsPerSecond(), 1e-9);
}

TEST_F(RequestBudgetTest, AWholeTransactionIsAffordableInTheSmallestPart) {
  budget.setPart(1e-3);
  budget.refill(start + Duration{3'600'000});
  EXPECT_TRUE(budget.affords(static_cast<unsigned>(settings.txnOps)));
}

TEST_F(RequestBudgetTest, IsPausedUntilThen) {
  budget.pauseUntil(start + Duration{10});
  EXPECT_TRUE(budget.paused(start));
  EXPECT_FALSE(budget.paused(start + Duration{10}));
}
