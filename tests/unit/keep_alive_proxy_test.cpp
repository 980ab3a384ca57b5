// Answering in a sibling's name: who may, for how long, and what the owner must assume (invariant 15).
#include <gtest/gtest.h>

#include "cluster/keep_alive_proxy.h"

using namespace cherryloft;

namespace {

constexpr Duration kGrace{18'000}, kTtl{3'000};
constexpr ShardId kShare{2};
constexpr Epoch kEpoch{7};

Time at(std::int64_t s) { return Time{Duration{s * 1000}}; }

// A keep-alive proxy and an owner whose clocks are an hour apart, pulsing to each other.
struct Pair : testing::Test {
  KeepAliveProxyLink proxy{at(100), kGrace, kGrace + kTtl};
  KeepAliveProxyLink owner{at(3700), kGrace, kGrace + kTtl};
  std::uint64_t deputyLife = 1;
  Version cancelled{40},
      seen{40};  // the owner's latest cancellation; what the keep-alive proxy knows of all jobs

  static Time ownersTime(std::int64_t s) { return at(s + 3600); }
  mesh::PeerHeartbeat fromDeputy(std::int64_t s, bool hears) {
    mesh::PeerHeartbeat p;
    p.life = deputyLife;
    proxy.fill(p, hears, at(s));
    return p;
  }
  mesh::PeerHeartbeat fromOwner(std::int64_t s, Duration ownsFor = kTtl) {
    mesh::PeerHeartbeat p;
    p.life = 9;
    p.ownsForMs = ownsFor.count();
    p.owns = {{kShare.value, kEpoch.value, cancelled.value}};
    owner.fill(p, true, ownersTime(s));
    return p;
  }
  // Both hear each other once a second until then.
  void together(std::int64_t from, std::int64_t to) {
    for (auto s = from; s <= to; ++s) {
      owner.came(fromDeputy(s, true), ownersTime(s));
      proxy.came(fromOwner(s), at(s));
    }
  }
  bool may(std::int64_t s, bool hears = false) const {
    return proxy.mayAnswer(kShare, kEpoch, seen, hears, at(s));
  }
};

}  // namespace

TEST_F(Pair, NobodyStandsInForWhomItHears) {
  together(101, 110);
  EXPECT_FALSE(may(111, true));
  EXPECT_EQ(owner.mayHaveAnswered(ownersTime(111)), Time{});
}

TEST_F(Pair, AfterSomeQuietItMayForTheGraceOfTheHoldThatItHeardOf) {
  together(101, 110);
  EXPECT_FALSE(may(113));  // not long after its last word that it answers nobody
  EXPECT_TRUE(may(116));
  EXPECT_FALSE(proxy.mayAnswer(kShare, Epoch{8}, seen, false, at(116)));
  EXPECT_FALSE(proxy.mayAnswer(ShardId{1}, kEpoch, seen, false, at(116)));
  EXPECT_TRUE(may(130));
  EXPECT_FALSE(may(131));  // 110 and the lease and the grace
  // The owner assumes nothing while the last word holds, and then all that may be.
  EXPECT_EQ(owner.mayHaveAnswered(ownersTime(113)), Time{});
  EXPECT_EQ(owner.mayHaveAnswered(ownersTime(120)), ownersTime(120));
  EXPECT_GE(owner.mayHaveAnswered(ownersTime(140)), ownersTime(130));
  EXPECT_LE(owner.mayHaveAnswered(ownersTime(140)), ownersTime(131));
}

// Invariant 16: it would prolong what the user was told is over.
TEST_F(Pair, WhoMissesACancellationMayNotAnswer) {
  together(101, 109);
  cancelled = Version{41};
  together(110, 110);
  EXPECT_FALSE(may(116));
  seen = Version{41};
  EXPECT_TRUE(may(116));
}

TEST_F(Pair, AnOwnerWithoutAHoldLendsNothing) {
  together(101, 110);
  proxy.came(fromOwner(111, Duration{0}), at(111));
  EXPECT_FALSE(may(120));
}

TEST_F(Pair, AHeldHeartbeatLendsNoLongerThanItsWordIsOld) {
  together(101, 110);
  auto held = fromOwner(111);
  proxy.came(held, at(170));
  EXPECT_FALSE(may(176));
}

TEST_F(Pair, AHeartbeatPassedByALaterOneSaysNothing) {
  together(101, 105);
  auto old = fromDeputy(106, true);
  auto later = fromDeputy(107, false);
  EXPECT_TRUE(owner.came(later, ownersTime(107)));
  EXPECT_FALSE(owner.came(old, ownersTime(108)));
}

TEST_F(Pair, OnceBackItTellsWhenItAnsweredLast) {
  together(101, 110);
  proxy.answered(at(121));
  auto p = fromDeputy(125, false);
  owner.came(p, ownersTime(125));
  proxy.came(fromOwner(126), at(126));
  owner.came(fromDeputy(127, true), ownersTime(127));
  EXPECT_EQ(owner.mayHaveAnswered(ownersTime(128)), ownersTime(121));
}

TEST_F(Pair, AnEndedDeputyCountsAsHavingAnsweredUntilItCameBack) {
  together(101, 110);
  deputyLife = 2;
  proxy = KeepAliveProxyLink{at(122), kGrace, kGrace + kTtl};
  owner.came(fromDeputy(122, false), ownersTime(122));
  EXPECT_FALSE(may(128));
  proxy.came(fromOwner(123), at(123));
  owner.came(fromDeputy(124, true), ownersTime(124));
  EXPECT_EQ(owner.mayHaveAnswered(ownersTime(125)), ownersTime(122));
}
