// To which shares machines are dealt that have no record.
#include "autoscaler/machine_adoption.h"

#include <gtest/gtest.h>

using namespace cherryloft;

TEST(MachineAdoption, TheShareWithTheFewestMachinesOfTheTypeComesFirst) {
  ShareGaps gaps;
  gaps[ShareNo{0}] = {100, {{"small", 2}}};
  gaps[ShareNo{1}] = {0, {{"small", 1}, {"large", 9}}};
  EXPECT_EQ(neediestShare(gaps, "small"), ShareNo{1});
  EXPECT_EQ(neediestShare(gaps, "large"), ShareNo{0});
}

TEST(MachineAdoption, AmongEqualsTheShareThatLacksMost) {
  ShareGaps gaps;
  gaps[ShareNo{0}] = {10, {{"small", 1}}};
  gaps[ShareNo{1}] = {30, {{"small", 1}}};
  gaps[ShareNo{2}] = {20, {{"small", 1}}};
  EXPECT_EQ(neediestShare(gaps, "small"), ShareNo{1});
}
