// Refilling and spending of the request and write buckets.
#include "kvstore/rate_limiter.h"

#include <gtest/gtest.h>

#include "world/world.h"

using namespace cherryloft;

namespace {

struct RateLimiterTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  Time start{Duration{5'000}};
  RateLimiter limiter{settings, start};
};

}  // namespace

TEST_F(RateLimiterTest, StartsWithAnEqualFractionOfTheLimits) {
  EXPECT_NEAR(limiter.requestsPerSecond(), settings.stateRps * 0.9 / settings.size(), 1e-9);
  EXPECT_NEAR(limiter.writesPerSecond(), settings.stateWriteRps * 0.9 / settings.size(), 1e-9);
}

TEST_F(RateLimiterTest, RefillsUpToTheTokensOfOneSecond) {
  while (limiter.hasTokensFor(1)) limiter.consumeTokens(1);
  limiter.refill(start + Duration{500});
  EXPECT_TRUE(limiter.hasTokensFor(1));
  limiter.refill(start + Duration{100'000});
  EXPECT_NEAR(limiter.requestTokens(), limiter.requestsPerSecond(), 1e-9);
}

TEST_F(RateLimiterTest, HasTokensForTheLargestTransactionAtASmallFraction) {
  limiter.setFractionOfLimits(1e-3);
  limiter.refill(start + Duration{3'600'000});
  EXPECT_TRUE(limiter.hasTokensFor(static_cast<unsigned>(settings.txnOps)));
}

TEST_F(RateLimiterTest, IsPausedUntilTheGivenTime) {
  limiter.pauseUntil(start + Duration{10});
  EXPECT_TRUE(limiter.paused(start));
  EXPECT_FALSE(limiter.paused(start + Duration{10}));
}
