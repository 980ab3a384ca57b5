// Machine groups that have outgrown a value: every machine must stay in one group, and no write may be larger
// than the state service takes.
#include "actors/group_rewrite.h"

#include <gtest/gtest.h>

#include <set>

namespace cherryloft {
namespace {

constexpr std::size_t kValueBytes = 1024;

wire::GroupRecord groupOf(unsigned members) {
  wire::GroupRecord group{ShareNo{1}, Epoch{7}, "m", Zone{"a"}, false, WallTime{1700}, {}};
  for (unsigned i = 0; i < members; ++i)
    group.members.push_back(
        {HostId{"host-" + std::to_string(100000 + i)}, wire::HostPhase::InUse, "10.1.0.2:9000"});
  return group;
}

std::multiset<HostId> membersIn(const std::vector<VersionedWrite>& writes) {
  std::multiset<HostId> ids;
  for (const auto& [write, _] : writes) {
    auto group = wire::parseGroup(*write.value);
    for (const auto& member : group.value().members) ids.insert(member.id);
  }
  return ids;
}

TEST(GroupRewrite, WhatFitsStaysOneWrite) {
  auto group = groupOf(3);
  auto writes = rewriteGroup("host/k", Version{5}, group, kValueBytes, [](const auto&) { return false; });
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes[0].write.key, "host/k");
  EXPECT_EQ(writes[0].version, Version{5});
  EXPECT_EQ(*writes[0].write.value, wire::encodeGroup(group));
}

TEST(GroupRewrite, WhatHasOutgrownAValueIsPartedAndEveryMachineIsInOneGroup) {
  auto group = groupOf(60);
  ASSERT_GT(wire::encodeGroup(group).size(), kValueBytes);
  auto writes = rewriteGroup("host/k", Version{5}, group, kValueBytes, [](const auto&) { return false; });
  EXPECT_GT(writes.size(), 1U);
  std::set<std::string> keys;
  for (const auto& [write, version] : writes) {
    EXPECT_LE(write.value->size(), kValueBytes);
    EXPECT_TRUE(keys.insert(write.key).second);
    EXPECT_EQ(version, write.key == "host/k" ? Version{5} : Version{0});
  }
  auto ids = membersIn(writes);
  EXPECT_EQ(ids.size(), 60U);
  EXPECT_EQ(std::set<HostId>(ids.begin(), ids.end()).size(), 60U);
}

// A group whose first machine has left keeps its key: another group must not be written under it.
TEST(GroupRewrite, NoKeyThatExistsIsTakenForANewGroup) {
  auto group = groupOf(60);
  std::set<std::string> taken;
  auto exists = [&](const std::string& key) { return taken.count(key) > 0; };
  for (const auto& [write, _] : rewriteGroup("host/k", Version{5}, group, kValueBytes, exists))
    taken.insert(write.key);
  for (const auto& [write, version] : rewriteGroup("host/k", Version{6}, group, kValueBytes, exists)) {
    if (version == Version{0}) {
      EXPECT_EQ(taken.count(write.key), 0U);
    }
  }
}

TEST(GroupRewrite, AGroupWithoutMachinesIsDropped) {
  auto writes =
      rewriteGroup("host/k", Version{5}, groupOf(0), kValueBytes, [](const auto&) { return false; });
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_FALSE(writes[0].write.value);
}

}  // namespace
}  // namespace cherryloft
