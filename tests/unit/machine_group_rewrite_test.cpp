// Machine groups that exceed the maximum value size: every machine must stay in a group, and no write may be
// larger than the state service accepts.
#include "cluster/machine_group_rewrite.h"

#include <gtest/gtest.h>

#include <set>

namespace cherryloft {
namespace {

constexpr std::size_t kValueBytes = 1024;
const std::string kGroupKey = "host/first.7";

wire::MachineGroupRecord groupOf(unsigned members) {
  wire::MachineGroupRecord group{ShardId{1}, Epoch{7}, "m", Zone{"a"}, false, WallTime{1700}, {}};
  for (unsigned member = 0; member < members; ++member)
    group.members.push_back(
        {MachineId{"host-" + std::to_string(100000 + member)}, wire::MachinePhase::InUse, "10.1.0.2:9000"});
  return group;
}

std::multiset<MachineId> membersIn(const std::vector<ConditionalWrite>& writes) {
  std::multiset<MachineId> ids;
  for (const auto& [write, _] : writes) {
    auto group = wire::parseMachineGroup(*write.value);
    for (const auto& member : group.value().members) ids.insert(member.id);
  }
  return ids;
}

const GroupExists kNoneExists = [](const std::string&) { return false; };

TEST(MachineGroupRewrite, GroupThatFitsIsOneWrite) {
  auto group = groupOf(3);
  auto rewrite = rewriteGroup(kGroupKey, Version{5}, group, kValueBytes, 4, kNoneExists);
  EXPECT_FALSE(rewrite.splits);
  ASSERT_EQ(rewrite.writes.size(), 1U);
  EXPECT_EQ(rewrite.writes[0].write.key, kGroupKey);
  EXPECT_EQ(rewrite.writes[0].version, Version{5});
  EXPECT_EQ(*rewrite.writes[0].write.value, wire::encodeMachineGroup(group));
}

// A reader that sees the group without some of its machines before it sees these in another group considers
// their tasks lost and starts them twice, so the first step must not change the group.
TEST(MachineGroupRewrite, OversizedGroupMovesMembersToNewGroupsAndStaysUnchanged) {
  auto group = groupOf(60);
  ASSERT_GT(wire::encodeMachineGroup(group).size(), kValueBytes);
  auto rewrite = rewriteGroup(kGroupKey, Version{5}, group, kValueBytes, 8, kNoneExists);
  EXPECT_TRUE(rewrite.splits);
  std::set<std::string> keys;
  for (const auto& [write, version] : rewrite.writes) {
    EXPECT_LE(write.value->size(), kValueBytes);
    EXPECT_NE(write.key, kGroupKey);
    EXPECT_TRUE(keys.insert(write.key).second);
    EXPECT_EQ(version, Version{0});
  }
  auto moved = membersIn(rewrite.writes);
  EXPECT_EQ(std::set<MachineId>(moved.begin(), moved.end()).size(), moved.size());
  // The remaining members fit.
  std::erase_if(group.members, [&](const auto& member) { return moved.count(member.id) > 0; });
  EXPECT_LE(wire::encodeMachineGroup(group).size(), kValueBytes);
}

TEST(MachineGroupRewrite, SplitIsLimitedToTheMaximumNumberOfWrites) {
  auto rewrite = rewriteGroup(kGroupKey, Version{5}, groupOf(300), kValueBytes, 3, kNoneExists);
  EXPECT_TRUE(rewrite.splits);
  EXPECT_EQ(rewrite.writes.size(), 3U);
}

// A group keeps its key after its first machine has left, so no other group may be written under that key.
TEST(MachineGroupRewrite, NewGroupsDoNotUseExistingKeys) {
  std::set<std::string> taken;
  auto exists = [&](const std::string& key) { return taken.count(key) > 0; };
  for (const auto& [write, _] : groupCreationWrites(groupOf(60), kValueBytes, exists))
    taken.insert(write.key);
  for (const auto& [write, _] : groupCreationWrites(groupOf(60), kValueBytes, exists))
    EXPECT_EQ(taken.count(write.key), 0U);
}

TEST(MachineGroupRewrite, GroupWithoutMachinesIsDeleted) {
  auto rewrite = rewriteGroup(kGroupKey, Version{5}, groupOf(0), kValueBytes, 4, kNoneExists);
  ASSERT_EQ(rewrite.writes.size(), 1U);
  EXPECT_FALSE(rewrite.writes[0].write.value);
}

TEST(MachineGroupSplits, SplitGroupCountsAsRecentlySplitForAWhile) {
  MachineGroupSplits splits;
  TransactionBuilder transaction{8};
  const Time now{Duration{1'000}};
  auto rewrite = rewriteGroup(kGroupKey, Version{5}, groupOf(60), kValueBytes, 7, kNoneExists);
  ASSERT_TRUE(splits.add(transaction, kGroupKey, Version{5}, rewrite, now));
  EXPECT_TRUE(splits.recentlySplit(kGroupKey, now));
  EXPECT_FALSE(splits.recentlySplit(kGroupKey, now + Duration{5'000}));
  EXPECT_EQ(transaction.take().conditions.at(kGroupKey), Version{5});
}

}  // namespace
}  // namespace cherryloft
