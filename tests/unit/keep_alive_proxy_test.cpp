// Answering heartbeats in a peer's name: who may, for how long, and what the owner must assume (invariant
// 15).
#include <gtest/gtest.h>

#include "cluster/keep_alive_proxy.h"

using namespace cherryloft;

namespace {

constexpr Duration kGrace{18'000}, kLeaseTtl{3'000};
constexpr ShardId kShard{2};
constexpr Epoch kEpoch{7};

Time at(std::int64_t seconds) { return Time{Duration{seconds * 1000}}; }

// A proxy and an owner whose clocks are an hour apart, with heartbeats in both directions. Times are by the
// proxy's clock, in seconds.
struct KeepAliveProxyTest : testing::Test {
  KeepAliveProxyLink proxy{at(100), kGrace, kGrace + kLeaseTtl};
  KeepAliveProxyLink owner{at(3700), kGrace, kGrace + kLeaseTtl};
  std::uint64_t proxyLife = 1;
  Version lastCancellation{40};  // of the owner's shard
  Version knownUpTo{40};         // the revision up to which the proxy knows all jobs

  static Time ownersTime(std::int64_t seconds) { return at(seconds + 3600); }
  mesh::PeerHeartbeat heartbeatOfProxy(std::int64_t seconds, PeerContact contact) {
    mesh::PeerHeartbeat heartbeat;
    heartbeat.processIncarnation = proxyLife;
    proxy.fillHeartbeat(heartbeat, contact, at(seconds));
    return heartbeat;
  }
  mesh::PeerHeartbeat heartbeatOfOwner(std::int64_t seconds, Duration ownsFor = kLeaseTtl) {
    mesh::PeerHeartbeat heartbeat;
    heartbeat.processIncarnation = 9;
    heartbeat.leaseRemainingMs = ownsFor.count();
    heartbeat.owns = {{kShard.value, kEpoch.value, lastCancellation.value}};
    owner.fillHeartbeat(heartbeat, PeerContact::Heard, ownersTime(seconds));
    return heartbeat;
  }
  // Both hear each other once a second, from the first to the last.
  void exchangeHeartbeats(std::int64_t first, std::int64_t last) {
    for (auto second = first; second <= last; ++second) {
      owner.acceptHeartbeat(heartbeatOfProxy(second, PeerContact::Heard), ownersTime(second));
      proxy.acceptHeartbeat(heartbeatOfOwner(second), at(second));
    }
  }
  bool mayAnswer(std::int64_t seconds, PeerContact contact = PeerContact::NotHeard) const {
    return proxy.mayAnswer(kShard, kEpoch, knownUpTo, contact, at(seconds));
  }
};

}  // namespace

TEST_F(KeepAliveProxyTest, DoesNotAnswerForAnOwnerThatIsHeard) {
  exchangeHeartbeats(101, 110);
  EXPECT_FALSE(mayAnswer(111, PeerContact::Heard));
  EXPECT_EQ(owner.mayHaveAnsweredUntil(ownersTime(111)), Time{});
}

TEST_F(KeepAliveProxyTest, AnswersOnceItsDisclaimerHasExpiredUntilTheGraceOfTheLeaseEnds) {
  exchangeHeartbeats(101, 110);
  EXPECT_FALSE(mayAnswer(113));  // not long after its last statement that it answers nobody
  EXPECT_TRUE(mayAnswer(116));
  EXPECT_TRUE(mayAnswer(130));
  EXPECT_FALSE(mayAnswer(131));  // 110 and the lease and the grace
}

TEST_F(KeepAliveProxyTest, AnswersOnlyForTheShardAndEpochThatTheOwnerNamed) {
  exchangeHeartbeats(101, 110);
  EXPECT_TRUE(mayAnswer(116));
  EXPECT_FALSE(proxy.mayAnswer(kShard, Epoch{8}, knownUpTo, PeerContact::NotHeard, at(116)));
  EXPECT_FALSE(proxy.mayAnswer(ShardId{1}, kEpoch, knownUpTo, PeerContact::NotHeard, at(116)));
}

TEST_F(KeepAliveProxyTest, OwnerAssumesNothingWhileTheDisclaimerHoldsAndThenAllThatMayBe) {
  exchangeHeartbeats(101, 110);
  EXPECT_EQ(owner.mayHaveAnsweredUntil(ownersTime(113)), Time{});
  EXPECT_EQ(owner.mayHaveAnsweredUntil(ownersTime(120)), ownersTime(120));
  EXPECT_GE(owner.mayHaveAnsweredUntil(ownersTime(140)), ownersTime(130));
  EXPECT_LE(owner.mayHaveAnsweredUntil(ownersTime(140)), ownersTime(131));
}

// Invariant 16: it would extend what the user was told is over.
TEST_F(KeepAliveProxyTest, DoesNotAnswerWhileItMissesACancellation) {
  exchangeHeartbeats(101, 109);
  lastCancellation = Version{41};
  exchangeHeartbeats(110, 110);
  EXPECT_FALSE(mayAnswer(116));
  knownUpTo = Version{41};
  EXPECT_TRUE(mayAnswer(116));
}

TEST_F(KeepAliveProxyTest, DoesNotAnswerForAnOwnerWithoutALease) {
  exchangeHeartbeats(101, 110);
  proxy.acceptHeartbeat(heartbeatOfOwner(111, Duration{0}), at(111));
  EXPECT_FALSE(mayAnswer(120));
}

TEST_F(KeepAliveProxyTest, ADelayedHeartbeatAllowsNoMoreThanOneInTime) {
  exchangeHeartbeats(101, 110);
  auto delayed = heartbeatOfOwner(111);
  proxy.acceptHeartbeat(delayed, at(170));
  EXPECT_FALSE(mayAnswer(176));
}

TEST_F(KeepAliveProxyTest, AHeartbeatOvertakenByALaterOneIsRefused) {
  exchangeHeartbeats(101, 105);
  auto earlier = heartbeatOfProxy(106, PeerContact::Heard);
  auto later = heartbeatOfProxy(107, PeerContact::NotHeard);
  EXPECT_TRUE(owner.acceptHeartbeat(later, ownersTime(107)));
  EXPECT_FALSE(owner.acceptHeartbeat(earlier, ownersTime(108)));
}

TEST_F(KeepAliveProxyTest, OnceHeardAgainTheProxyTellsWhenItAnsweredLast) {
  exchangeHeartbeats(101, 110);
  proxy.recordAnswer(at(121));
  auto heartbeat = heartbeatOfProxy(125, PeerContact::NotHeard);
  owner.acceptHeartbeat(heartbeat, ownersTime(125));
  proxy.acceptHeartbeat(heartbeatOfOwner(126), at(126));
  owner.acceptHeartbeat(heartbeatOfProxy(127, PeerContact::Heard), ownersTime(127));
  EXPECT_EQ(owner.mayHaveAnsweredUntil(ownersTime(128)), ownersTime(121));
}

TEST_F(KeepAliveProxyTest, AnEndedProxyCountsAsAnsweringUntilItCameBack) {
  exchangeHeartbeats(101, 110);
  proxyLife = 2;
  proxy = KeepAliveProxyLink{at(122), kGrace, kGrace + kLeaseTtl};
  owner.acceptHeartbeat(heartbeatOfProxy(122, PeerContact::NotHeard), ownersTime(122));
  EXPECT_FALSE(mayAnswer(128));
  proxy.acceptHeartbeat(heartbeatOfOwner(123), at(123));
  owner.acceptHeartbeat(heartbeatOfProxy(124, PeerContact::Heard), ownersTime(124));
  EXPECT_EQ(owner.mayHaveAnsweredUntil(ownersTime(125)), ownersTime(122));
}
