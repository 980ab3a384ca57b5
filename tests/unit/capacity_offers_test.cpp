// Storage of capacity offers from other shards: which are kept, for how long, and in which order they are
// used.
#include "scheduler/capacity_offers.h"

#include <gtest/gtest.h>

namespace cherryloft {
namespace {

const JobId kJob{"wk-1"};
const ShardId kFirstShard{1};
const ShardId kSecondShard{2};
const ShardId kThirdShard{3};
const Time kNow{Duration{100'000}};
const Time kLastValid = kNow + kCapacityOfferLifetime;
const Time kExpired = kLastValid + Duration{1};

TEST(JobCapacityOffers, KeepsLargestOffer) {
  JobCapacityOffers offers;
  offers.add(kJob, {kFirstShard, 2, kNow});
  offers.add(kJob, {kSecondShard, 5, kNow});
  offers.add(kJob, {kThirdShard, 3, kNow});
  ASSERT_TRUE(offers.best(kJob));
  EXPECT_EQ(offers.best(kJob)->shard, kSecondShard);
}

TEST(JobCapacityOffers, KeepsEarlierOfEqualOffers) {
  JobCapacityOffers offers;
  offers.add(kJob, {kFirstShard, 2, kNow});
  offers.add(kJob, {kSecondShard, 2, kNow});
  EXPECT_EQ(offers.best(kJob)->shard, kFirstShard);
}

TEST(JobCapacityOffers, IgnoresOfferOfZeroTasks) {
  JobCapacityOffers offers;
  offers.add(kJob, {kFirstShard, 0, kNow});
  EXPECT_FALSE(offers.best(kJob));
}

TEST(JobCapacityOffers, DropsOfferAfterItsLifetime) {
  JobCapacityOffers offers;
  offers.add(kJob, {kFirstShard, 2, kNow});
  offers.dropExpired(kLastValid);
  EXPECT_TRUE(offers.best(kJob));
  offers.dropExpired(kExpired);
  EXPECT_FALSE(offers.best(kJob));
}

std::vector<ShardId> shardsOf(const std::vector<ReceivedTaskOffer>& offers) {
  std::vector<ShardId> shards;
  shards.reserve(offers.size());
  for (const auto& offer : offers) shards.push_back(offer.shard);
  return shards;
}

TEST(TaskCapacityOffers, ReturnsLargestFirstAndEqualOnesInOrderOfArrival) {
  TaskCapacityOffers offers;
  offers.add(kJob, {kFirstShard, std::nullopt, 2, kNow});
  offers.add(kJob, {kSecondShard, std::nullopt, 5, kNow});
  offers.add(kJob, {kThirdShard, std::nullopt, 2, kNow});
  EXPECT_EQ(shardsOf(offers.take(kJob, kNow)), (std::vector{kSecondShard, kFirstShard, kThirdShard}));
}

TEST(TaskCapacityOffers, LaterOfferReplacesEarlierOneOfSameShard) {
  TaskCapacityOffers offers;
  offers.add(kJob, {kFirstShard, Zone{"a"}, 5, kNow});
  offers.add(kJob, {kFirstShard, Zone{"b"}, 2, kNow});
  auto taken = offers.take(kJob, kNow);
  ASSERT_EQ(taken.size(), 1U);
  EXPECT_EQ(taken.front().zone, Zone{"b"});
  EXPECT_EQ(taken.front().tasks, 2U);
}

TEST(TaskCapacityOffers, TakeRemovesOffers) {
  TaskCapacityOffers offers;
  offers.add(kJob, {kFirstShard, std::nullopt, 2, kNow});
  EXPECT_EQ(offers.take(kJob, kNow).size(), 1U);
  EXPECT_FALSE(offers.any(kJob));
}

TEST(TaskCapacityOffers, TakeOmitsExpiredOffers) {
  TaskCapacityOffers offers;
  offers.add(kJob, {kFirstShard, std::nullopt, 5, kNow});
  offers.add(kJob, {kSecondShard, std::nullopt, 2, kLastValid});
  EXPECT_TRUE(offers.any(kJob));
  EXPECT_EQ(shardsOf(offers.take(kJob, kExpired)), std::vector{kSecondShard});
}

TEST(TaskCapacityOffers, AllAreDroppedOnceTheOldestHasExpired) {
  TaskCapacityOffers offers;
  offers.add(kJob, {kFirstShard, std::nullopt, 5, kNow});
  offers.add(kJob, {kSecondShard, std::nullopt, 2, kLastValid});
  offers.dropExpired(kExpired);
  EXPECT_FALSE(offers.any(kJob));
}

TEST(CapacityOffers, EmptyZoneNameInMessageMeansAnyZone) {
  EXPECT_EQ(zoneFromMessage(""), std::nullopt);
  EXPECT_EQ(zoneFromMessage("a"), Zone{"a"});
}

}  // namespace
}  // namespace cherryloft
