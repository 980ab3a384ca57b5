// To which shards machines are dealt that have no record.
#include "autoscaler/machine_adoption.h"

#include <gtest/gtest.h>

using namespace cherryloft;

TEST(MachineAdoption, TheShareWithTheFewestMachinesOfTheTypeComesFirst) {
  ShardGaps gaps;
  gaps[ShardId{0}] = {100, {{"small", 2}}};
  gaps[ShardId{1}] = {0, {{"small", 1}, {"large", 9}}};
  EXPECT_EQ(shardWithLargestGap(gaps, "small"), ShardId{1});
  EXPECT_EQ(shardWithLargestGap(gaps, "large"), ShardId{0});
}

TEST(MachineAdoption, AmongEqualsTheShareThatLacksMost) {
  ShardGaps gaps;
  gaps[ShardId{0}] = {10, {{"small", 1}}};
  gaps[ShardId{1}] = {30, {{"small", 1}}};
  gaps[ShardId{2}] = {20, {{"small", 1}}};
  EXPECT_EQ(shardWithLargestGap(gaps, "small"), ShardId{1});
}
