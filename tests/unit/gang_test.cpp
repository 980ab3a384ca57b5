// Tests of the zone ranking for gangs, and of the progress lost when one is stopped.
#include "policy/gang.h"

#include <gtest/gtest.h>

namespace cherryloft::policy {
namespace {

std::vector<std::string> namesOf(const std::vector<Zone>& zones) {
  std::vector<std::string> names;
  names.reserve(zones.size());
  for (const auto& zone : zones) names.push_back(zone.value);
  return names;
}

TEST(Gang, ZonesWithoutCapacityForAllMembersAreExcluded) {
  EXPECT_TRUE(rankZones({{Zone{"a"}, 3, 3, 1}, {Zone{"b"}, 2, 0, 1}}, 4).empty());
  EXPECT_EQ(namesOf(rankZones({{Zone{"a"}, 3, 3, 1}, {Zone{"b"}, 4, 0, 9}}, 4)),
            (std::vector<std::string>{"b"}));
}

// A gang starts when its slowest member does: a zone where most members find the image ranks no better than
// one where none does.
TEST(Gang, ZonesRankBySlowestFetchThenByCapacity) {
  auto order = rankZones({{Zone{"most"}, 20, 3, 4}, {Zone{"all"}, 4, 4, 4}, {Zone{"quick"}, 5, 0, 2}}, 4);
  EXPECT_EQ(namesOf(order), (std::vector<std::string>{"all", "quick", "most"}));
  order = rankZones({{Zone{"little"}, 5, 0, 2}, {Zone{"much"}, 50, 0, 2}}, 4);
  EXPECT_EQ(namesOf(order), (std::vector<std::string>{"much", "little"}));
}

TEST(Gang, ProgressSinceTheLastCheckpointIsLost) {
  EXPECT_DOUBLE_EQ(progressSinceCheckpoint(47, 20), 7);
  EXPECT_DOUBLE_EQ(progressSinceCheckpoint(47, 0), 47);
}

}  // namespace
}  // namespace cherryloft::policy
