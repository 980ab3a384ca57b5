// CommandFence: which heartbeats are accepted, and when a worker is known to hear its owner.
#include "scheduler/command_fence.h"

#include <gtest/gtest.h>

namespace cherryloft {
namespace {

constexpr FencingToken kOwnToken{100};

wire::WorkerHeartbeat heartbeat(std::uint64_t incarnation, std::uint64_t sequence, FencingToken token) {
  wire::WorkerHeartbeat result;
  result.incarnation = Incarnation{incarnation};
  result.sequence = SequenceNumber{sequence};
  result.token = token;
  return result;
}

// A fence that has accepted heartbeat 5 of incarnation 2, which carries the owner's token.
class CommandFenceTest : public ::testing::Test {
 protected:
  CommandFenceTest() { fence_.accept(heartbeat(2, 5, kOwnToken)); }

  CommandFence fence_{kOwnToken};
};

TEST_F(CommandFenceTest, LaterHeartbeatIsNewer) {
  EXPECT_TRUE(fence_.isNewer(heartbeat(2, 6, kOwnToken)));
  EXPECT_TRUE(fence_.isNewer(heartbeat(3, 1, kOwnToken)));
}

TEST_F(CommandFenceTest, DuplicateOrDelayedHeartbeatIsNotNewer) {
  EXPECT_FALSE(fence_.isNewer(heartbeat(2, 5, kOwnToken)));
  EXPECT_FALSE(fence_.isNewer(heartbeat(1, 9, kOwnToken)));
}

TEST_F(CommandFenceTest, HeartbeatWithLowerTokenThanAcknowledgedIsNotNewer) {
  auto lower = heartbeat(2, 6, FencingToken{kOwnToken.value - 1});
  EXPECT_TRUE(fence_.carriesLowerToken(lower));
  EXPECT_FALSE(fence_.isNewer(lower));
}

TEST_F(CommandFenceTest, HeartbeatOfExpiredIncarnationIsNotNewer) {
  fence_.expireIncarnation();
  EXPECT_FALSE(fence_.isNewer(heartbeat(2, 6, kOwnToken)));
  EXPECT_TRUE(fence_.isNewer(heartbeat(3, 1, kOwnToken)));
}

TEST_F(CommandFenceTest, HigherTokenSupersedesOwner) {
  EXPECT_FALSE(fence_.supersededBy(heartbeat(2, 6, kOwnToken)));
  EXPECT_TRUE(fence_.supersededBy(heartbeat(2, 6, FencingToken{kOwnToken.value + 1})));
}

TEST_F(CommandFenceTest, OnlyTokenOfThisOwnerIsRecognizedAsOwn) {
  EXPECT_TRUE(fence_.carriesOwnToken(heartbeat(2, 6, kOwnToken)));
  EXPECT_FALSE(fence_.carriesOwnToken(heartbeat(2, 6, FencingToken{kOwnToken.value - 1})));
}

TEST_F(CommandFenceTest, FirstHeartbeatDoesNotStartNewIncarnation) {
  EXPECT_FALSE(CommandFence{kOwnToken}.startsNewIncarnation(heartbeat(4, 1, kOwnToken)));
  EXPECT_FALSE(fence_.startsNewIncarnation(heartbeat(2, 6, kOwnToken)));
  EXPECT_TRUE(fence_.startsNewIncarnation(heartbeat(3, 1, kOwnToken)));
}

TEST_F(CommandFenceTest, AcknowledgementIsAwaitedUntilAHigherTokenIsShown) {
  fence_.requireAcknowledgement();
  EXPECT_EQ(fence_.token(), FencingToken{kOwnToken.value + 1});
  EXPECT_FALSE(fence_.acknowledged());
  fence_.accept(heartbeat(2, 6, kOwnToken));
  EXPECT_FALSE(fence_.acknowledged());
  fence_.accept(heartbeat(2, 7, fence_.token()));
  EXPECT_TRUE(fence_.acknowledged());
}

TEST_F(CommandFenceTest, IncarnationExpiryEndsTheWaitForAnAcknowledgement) {
  fence_.requireAcknowledgement();
  fence_.expireIncarnation();
  EXPECT_TRUE(fence_.acknowledged());
}

TEST_F(CommandFenceTest, HigherBaseTokenResetsGeneration) {
  fence_.requireAcknowledgement();
  fence_.raiseBaseToken(FencingToken{200});
  EXPECT_EQ(fence_.token(), FencingToken{200});
  fence_.raiseBaseToken(FencingToken{150});
  EXPECT_EQ(fence_.token(), FencingToken{200});
}

TEST_F(CommandFenceTest, ExpectedIncarnationNeverDecreasesNorNamesExpiredOne) {
  EXPECT_EQ(CommandFence{kOwnToken}.expectedIncarnation(), Incarnation{1});
  fence_.raiseExpectedIncarnation(Incarnation{1});
  EXPECT_EQ(fence_.expectedIncarnation(), Incarnation{2});
  fence_.raiseExpectedIncarnation(Incarnation{4});
  EXPECT_EQ(fence_.expectedIncarnation(), Incarnation{4});
}

TEST_F(CommandFenceTest, TokenNeverLeavesItsEpoch) {
  CommandFence fence{makeFencingToken(Epoch{7})};
  for (std::uint64_t generation = 0; generation < 2 * kTokenGenerations; ++generation)
    fence.requireAcknowledgement();
  EXPECT_TRUE(fence.tokensExhausted());
  EXPECT_EQ(epochOf(fence.token()), Epoch{7});
  EXPECT_EQ(fence.token(), FencingToken{makeFencingToken(Epoch{8}).value - 1});
}

TEST_F(CommandFenceTest, WithExhaustedTokensNothingIsAcknowledgedBeforeTheNextEpoch) {
  CommandFence fence{kOwnToken, 2};
  fence.accept(heartbeat(2, 5, kOwnToken));
  fence.requireAcknowledgement();
  fence.requireAcknowledgement();
  fence.accept(heartbeat(2, 6, fence.token()));
  EXPECT_FALSE(fence.acknowledged());
}

// A new agent process restarts its counters at one; heartbeats of the old process may still arrive.
TEST_F(CommandFenceTest, AfterWorkerRestartAnswerIsNewerAndAHigherTokenIsAwaited) {
  auto answer = heartbeat(1, 1, kOwnToken);
  EXPECT_FALSE(fence_.isNewer(answer));
  fence_.resetForRestartedWorker(answer);
  EXPECT_TRUE(fence_.isNewer(answer));
  EXPECT_FALSE(fence_.startsNewIncarnation(answer));
  EXPECT_FALSE(fence_.acknowledged());
}

}  // namespace
}  // namespace cherryloft
