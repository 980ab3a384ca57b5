// The order and rate in which requests to the state service are sent.
#include "kvstore/request_queue.h"

#include <gtest/gtest.h>

#include "unit/request_queue_fixture.h"

using namespace cherryloft;

namespace {

struct RequestQueueTest : RequestQueueFixture {
  std::vector<HttpResult::Outcome> outcomes;

  void push(RequestPriority priority, const std::string& target, Duration deadline = Duration{10'000},
            unsigned writes = 0) {
    queue.push(priority, {"test", {"GET", target, "", false}, writes}, deadline,
               [this](const HttpResult& result) { outcomes.push_back(result.outcome); });
  }
  void spendAllRequestTokens() {
    while (limiter.hasTokensFor(0)) limiter.consumeTokens(0);
  }
  void run(world::Ms ms) { runtime.clock.run(runtime.clock.now() + ms); }
};

}  // namespace

TEST_F(RequestQueueTest, SendsByPriority) {
  spendAllRequestTokens();
  push(RequestPriority::User, "/user");
  push(RequestPriority::Commit, "/work");
  push(RequestPriority::Control, "/control");
  EXPECT_TRUE(runtime.requests.empty());
  run(1'000);
  EXPECT_EQ(runtime.targets(), (std::vector<std::string>{"/control", "/work", "/user"}));
}

TEST_F(RequestQueueTest, LeaseRenewalsDoNotWaitForTheRateLimiter) {
  spendAllRequestTokens();
  push(RequestPriority::Lease, "/lease");
  EXPECT_EQ(runtime.targets(), (std::vector<std::string>{"/lease"}));
}

TEST_F(RequestQueueTest, RequestIsNotSentAfterItsDeadline) {
  limiter.pauseUntil(runtime.now() + Duration{1'000});
  push(RequestPriority::Control, "/late", Duration{100});
  run(2'000);
  EXPECT_TRUE(runtime.requests.empty());
  EXPECT_EQ(outcomes, (std::vector<HttpResult::Outcome>{HttpResult::Outcome::NotSent}));
  EXPECT_EQ(counters.expired, 1U);
}

TEST_F(RequestQueueTest, PausesWhenThrottled) {
  push(RequestPriority::Control, "/first");
  auto answer = runtime.open.at(0);
  answer({HttpResult::Outcome::Answered, {429, "{}", false, 0}});
  push(RequestPriority::Control, "/second");
  run(200);
  EXPECT_EQ(runtime.requests.size(), 1U);
  run(1'000);
  EXPECT_EQ(runtime.requests.size(), 2U);
  EXPECT_EQ(counters.throttled, 1U);
}

TEST_F(RequestQueueTest, ConsumesWriteTokensToo) {
  auto allWrites = static_cast<unsigned>(limiter.writeTokens());
  push(RequestPriority::Commit, "/all", Duration{10'000}, allWrites);
  push(RequestPriority::Commit, "/more", Duration{10'000}, 1);
  EXPECT_EQ(runtime.targets(), (std::vector<std::string>{"/all"}));
  run(1'000);
  EXPECT_EQ(runtime.requests.size(), 2U);
}
