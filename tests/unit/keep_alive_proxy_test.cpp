// Answering heartbeats on behalf of a peer: when and how long it is allowed, and what the owner must assume
// (invariant 15).
#include <gtest/gtest.h>

#include "cluster/keep_alive_proxy.h"

using namespace cherryloft;

namespace {

constexpr Duration kGrace{18'000}, kLeaseTtl{3'000};
constexpr ShardId kShard{2};
constexpr Epoch kEpoch{7};

Time at(std::int64_t seconds) { return Time{Duration{seconds * 1000}}; }

// A proxy and an owner whose clocks differ by an hour, with heartbeats in both directions. Times are in
// seconds by the proxy's clock.
struct KeepAliveProxyTest : testing::Test {
  KeepAliveProxyState proxy{at(100), kGrace, kGrace + kLeaseTtl};
  KeepAliveProxyState owner{at(3700), kGrace, kGrace + kLeaseTtl};
  std::uint64_t proxyIncarnation = 1;
  Version lastCancellation{40};  // of the owner's shard
  Version knownUpTo{40};         // the revision up to which the proxy knows all jobs

  static Time ownerTime(std::int64_t seconds) { return at(seconds + 3600); }
  mesh::PeerHeartbeat heartbeatOfProxy(std::int64_t seconds, PeerContact contact) {
    mesh::PeerHeartbeat heartbeat;
    heartbeat.processIncarnation = proxyIncarnation;
    proxy.fillHeartbeat(heartbeat, contact, at(seconds));
    return heartbeat;
  }
  mesh::PeerHeartbeat heartbeatOfOwner(std::int64_t seconds, Duration ownsFor = kLeaseTtl) {
    mesh::PeerHeartbeat heartbeat;
    heartbeat.processIncarnation = 9;
    heartbeat.leaseRemainingMs = ownsFor.count();
    heartbeat.owns = {{kShard.value, kEpoch.value, lastCancellation.value}};
    owner.fillHeartbeat(heartbeat, PeerContact::Receiving, ownerTime(seconds));
    return heartbeat;
  }
  // Both receive each other's heartbeats once a second, from `first` to `last`.
  void exchangeHeartbeats(std::int64_t first, std::int64_t last) {
    for (auto second = first; second <= last; ++second) {
      owner.acceptHeartbeat(heartbeatOfProxy(second, PeerContact::Receiving), ownerTime(second));
      proxy.acceptHeartbeat(heartbeatOfOwner(second), at(second));
    }
  }
  bool mayAnswer(std::int64_t seconds, PeerContact contact = PeerContact::NotReceiving) const {
    return proxy.mayAnswer(kShard, kEpoch, knownUpTo, contact, at(seconds));
  }
};

}  // namespace

TEST_F(KeepAliveProxyTest, DoesNotAnswerWhileReceivingTheOwnersHeartbeats) {
  exchangeHeartbeats(101, 110);
  EXPECT_FALSE(mayAnswer(111, PeerContact::Receiving));
  EXPECT_EQ(owner.latestPossibleAnswer(ownerTime(111)), Time{});
}

TEST_F(KeepAliveProxyTest, AnswersAfterItsInactiveReportExpiredUntilTheGraceOfTheLeaseEnds) {
  exchangeHeartbeats(101, 110);
  EXPECT_FALSE(mayAnswer(113));  // too soon after its last inactive report
  EXPECT_TRUE(mayAnswer(116));
  EXPECT_TRUE(mayAnswer(130));
  EXPECT_FALSE(mayAnswer(131));  // last heartbeat at 110, plus lease and grace
}

TEST_F(KeepAliveProxyTest, AnswersOnlyForTheShardAndEpochThatTheOwnerReported) {
  exchangeHeartbeats(101, 110);
  EXPECT_TRUE(mayAnswer(116));
  EXPECT_FALSE(proxy.mayAnswer(kShard, Epoch{8}, knownUpTo, PeerContact::NotReceiving, at(116)));
  EXPECT_FALSE(proxy.mayAnswer(ShardId{1}, kEpoch, knownUpTo, PeerContact::NotReceiving, at(116)));
}

TEST_F(KeepAliveProxyTest, OwnerAssumesNoAnswersWhileTheInactiveReportIsValidAndTheLatestPossibleAfterIt) {
  exchangeHeartbeats(101, 110);
  EXPECT_EQ(owner.latestPossibleAnswer(ownerTime(113)), Time{});
  EXPECT_EQ(owner.latestPossibleAnswer(ownerTime(120)), ownerTime(120));
  EXPECT_GE(owner.latestPossibleAnswer(ownerTime(140)), ownerTime(130));
  EXPECT_LE(owner.latestPossibleAnswer(ownerTime(140)), ownerTime(131));
}

// Invariant 16: an answer would extend tasks that the user was told are cancelled.
TEST_F(KeepAliveProxyTest, DoesNotAnswerWhileMissingACancellation) {
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

TEST_F(KeepAliveProxyTest, DelayedHeartbeatDoesNotExtendThePermission) {
  exchangeHeartbeats(101, 110);
  auto delayed = heartbeatOfOwner(111);
  proxy.acceptHeartbeat(delayed, at(170));
  EXPECT_FALSE(mayAnswer(176));
}

TEST_F(KeepAliveProxyTest, HeartbeatOvertakenByALaterOneIsRefused) {
  exchangeHeartbeats(101, 105);
  auto earlier = heartbeatOfProxy(106, PeerContact::Receiving);
  auto later = heartbeatOfProxy(107, PeerContact::NotReceiving);
  EXPECT_TRUE(owner.acceptHeartbeat(later, ownerTime(107)));
  EXPECT_FALSE(owner.acceptHeartbeat(earlier, ownerTime(108)));
}

TEST_F(KeepAliveProxyTest, ProxyReportsItsLastAnswerOnceReceivedAgain) {
  exchangeHeartbeats(101, 110);
  proxy.recordAnswer(at(121));
  auto heartbeat = heartbeatOfProxy(125, PeerContact::NotReceiving);
  owner.acceptHeartbeat(heartbeat, ownerTime(125));
  proxy.acceptHeartbeat(heartbeatOfOwner(126), at(126));
  owner.acceptHeartbeat(heartbeatOfProxy(127, PeerContact::Receiving), ownerTime(127));
  EXPECT_EQ(owner.latestPossibleAnswer(ownerTime(128)), ownerTime(121));
}

TEST_F(KeepAliveProxyTest, RestartedProxyCountsAsAnsweringUntilItsReturn) {
  exchangeHeartbeats(101, 110);
  proxyIncarnation = 2;
  proxy = KeepAliveProxyState{at(122), kGrace, kGrace + kLeaseTtl};
  owner.acceptHeartbeat(heartbeatOfProxy(122, PeerContact::NotReceiving), ownerTime(122));
  EXPECT_FALSE(mayAnswer(128));
  proxy.acceptHeartbeat(heartbeatOfOwner(123), at(123));
  owner.acceptHeartbeat(heartbeatOfProxy(124, PeerContact::Receiving), ownerTime(124));
  EXPECT_EQ(owner.latestPossibleAnswer(ownerTime(125)), ownerTime(122));
}
