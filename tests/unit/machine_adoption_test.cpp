// Tests which shard a machine without a record is assigned to.
#include "autoscaler/machine_adoption.h"

#include <gtest/gtest.h>

using namespace cherryloft;

TEST(MachineAdoption, SelectsTheShardWithTheFewestMachinesOfTheType) {
  ShardDeficits deficits;
  deficits[ShardId{0}] = {100, {{"small", 2}}};
  deficits[ShardId{1}] = {0, {{"small", 1}, {"large", 9}}};
  EXPECT_EQ(selectShardForType(deficits, "small"), ShardId{1});
  EXPECT_EQ(selectShardForType(deficits, "large"), ShardId{0});
}

TEST(MachineAdoption, BreaksTiesByTheMostMissingCores) {
  ShardDeficits deficits;
  deficits[ShardId{0}] = {10, {{"small", 1}}};
  deficits[ShardId{1}] = {30, {{"small", 1}}};
  deficits[ShardId{2}] = {20, {{"small", 1}}};
  EXPECT_EQ(selectShardForType(deficits, "small"), ShardId{1});
}
