// CommandFence: which heartbeats are accepted, and when commands sent earlier can no longer take effect.
#include "scheduler/command_fence.h"

#include <gtest/gtest.h>

namespace cherryloft {
namespace {

constexpr FencingToken kOwnToken{100};
const TaskAttempt kAttempt{{JobId{"job-1"}, 0}, Attempt{1}};
const TaskAttempt kOtherAttempt{{JobId{"job-1"}, 1}, Attempt{2}};

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

TEST_F(CommandFenceTest, UnansweredCommandIsInDoubtUntilHigherTokenIsAcknowledged) {
  fence_.recordUnansweredCommand(fence_.token());
  EXPECT_GT(fence_.token(), kOwnToken);
  fence_.accept(heartbeat(2, 6, kOwnToken));
  EXPECT_FALSE(fence_.noCommandInDoubt());
  fence_.accept(heartbeat(2, 7, fence_.token()));
  EXPECT_TRUE(fence_.noCommandInDoubt());
}

TEST_F(CommandFenceTest, AdvancingTokenPutsEarlierCommandsInDoubt) {
  fence_.advanceToken();
  EXPECT_EQ(fence_.token(), FencingToken{kOwnToken.value + 1});
  EXPECT_FALSE(fence_.noCommandInDoubt());
}

TEST_F(CommandFenceTest, IncarnationExpiryClearsCommandInDoubt) {
  fence_.recordUnansweredCommand(fence_.token());
  fence_.expireIncarnation();
  EXPECT_TRUE(fence_.noCommandInDoubt());
}

TEST_F(CommandFenceTest, HigherBaseTokenResetsGeneration) {
  fence_.advanceToken();
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

TEST_F(CommandFenceTest, AttemptStartedDirectlyIsForgottenOnlyUnderHigherToken) {
  fence_.recordDirectStart(kAttempt);
  EXPECT_FALSE(fence_.mayForget(kAttempt));
  EXPECT_TRUE(fence_.mayForget(kOtherAttempt));
  fence_.raiseToken();
  EXPECT_TRUE(fence_.mayForget(kAttempt));
}

TEST_F(CommandFenceTest, RaisingTokenToForgetPutsNothingInDoubt) {
  fence_.raiseToken();
  EXPECT_EQ(fence_.token(), FencingToken{kOwnToken.value + 1});
  EXPECT_TRUE(fence_.noCommandInDoubt());
}

TEST_F(CommandFenceTest, DirectStartMayArriveUntilWorkerHasSeenHigherToken) {
  fence_.recordDirectStart(kAttempt);
  fence_.raiseToken();
  fence_.accept(heartbeat(2, 6, kOwnToken));
  EXPECT_TRUE(fence_.directStartMayArrive(kAttempt));
  fence_.accept(heartbeat(2, 7, fence_.token()));
  EXPECT_FALSE(fence_.directStartMayArrive(kAttempt));
}

TEST_F(CommandFenceTest, RepeatedDirectStartCountsUnderItsLatestToken) {
  fence_.recordDirectStart(kAttempt);
  fence_.raiseToken();
  fence_.recordDirectStart(kAttempt);
  EXPECT_FALSE(fence_.mayForget(kAttempt));
}

TEST_F(CommandFenceTest, TaskStartsAgainOnlyUnderTokenAboveItsEarlierDirectStart) {
  TaskAttempt nextAttempt{kAttempt.task, Attempt{kAttempt.attempt.value + 1}};
  fence_.recordDirectStart(kAttempt);
  EXPECT_TRUE(fence_.mayStart(kAttempt));
  EXPECT_TRUE(fence_.mayStart(kOtherAttempt));
  EXPECT_FALSE(fence_.mayStart(nextAttempt));
  fence_.raiseToken();
  EXPECT_TRUE(fence_.mayStart(nextAttempt));
}

TEST_F(CommandFenceTest, StartThatWasNotSentCannotArrive) {
  fence_.recordDirectStart(kAttempt);
  fence_.eraseUnsentStart(kAttempt);
  EXPECT_FALSE(fence_.directStartMayArrive(kAttempt));
  EXPECT_TRUE(fence_.mayForget(kAttempt));
}

TEST_F(CommandFenceTest, DirectStartEndsWithItsIncarnation) {
  fence_.recordDirectStart(kAttempt);
  fence_.accept(heartbeat(3, 1, kOwnToken));
  EXPECT_FALSE(fence_.directStartMayArrive(kAttempt));
  fence_.recordDirectStart(kAttempt);
  fence_.expireIncarnation();
  EXPECT_FALSE(fence_.directStartMayArrive(kAttempt));
}

TEST_F(CommandFenceTest, UnansweredDirectStartIsNotForgottenBeforeItsTokenIsOutdated) {
  fence_.recordDirectStart(kAttempt);
  fence_.recordUnansweredCommand(fence_.token());
  EXPECT_FALSE(fence_.mayForget(kAttempt));
  fence_.accept(heartbeat(2, 6, fence_.token()));
  EXPECT_TRUE(fence_.mayForget(kAttempt));
}

TEST_F(CommandFenceTest, TokenNeverLeavesItsEpoch) {
  CommandFence fence{makeFencingToken(Epoch{7})};
  for (std::uint64_t generation = 0; generation < 2 * kTokenGenerations; ++generation) fence.raiseToken();
  EXPECT_TRUE(fence.tokensExhausted());
  EXPECT_EQ(epochOf(fence.token()), Epoch{7});
  EXPECT_EQ(fence.token(), FencingToken{makeFencingToken(Epoch{8}).value - 1});
}

TEST_F(CommandFenceTest, WithExhaustedTokensNothingIsSettledBeforeTheNextEpoch) {
  CommandFence fence{kOwnToken, 2};
  fence.accept(heartbeat(2, 5, kOwnToken));
  fence.raiseToken();
  fence.recordDirectStart(kAttempt);
  fence.raiseToken();
  EXPECT_FALSE(fence.mayForget(kAttempt));
  fence.recordUnansweredCommand(fence.token());
  fence.accept(heartbeat(2, 6, fence.token()));
  EXPECT_FALSE(fence.noCommandInDoubt());
}

// A new agent process restarts its counters at one; start commands sent to the old process may still reach
// it.
TEST_F(CommandFenceTest, AfterWorkerRestartAnswerIsNewerAndEarlierCommandsAreInDoubt) {
  auto answer = heartbeat(1, 1, kOwnToken);
  EXPECT_FALSE(fence_.isNewer(answer));
  fence_.resetForRestartedWorker(answer);
  EXPECT_TRUE(fence_.isNewer(answer));
  EXPECT_FALSE(fence_.startsNewIncarnation(answer));
  EXPECT_FALSE(fence_.noCommandInDoubt());
}

}  // namespace
}  // namespace cherryloft
