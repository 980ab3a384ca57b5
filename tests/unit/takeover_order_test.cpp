// The takeover delay of a controller by its position in the order.
#include "cluster/takeover_order.h"

#include <gtest/gtest.h>

#include "world/world.h"

namespace cherryloft {
namespace {

struct TakeoverOrderTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  ClusterView view;

  TakeoverOrderTest() {
    for (const auto& controller : settings.controllers) view.controllers[controller] = Version{1};
  }
};

TEST_F(TakeoverOrderTest, ThePreferredOwnerDoesNotWait) {
  EXPECT_EQ(takeoverDelay(settings, view, ShardId{0}), Duration{0});
}

TEST_F(TakeoverOrderTest, EachLiveControllerBeforeThisOneAddsAStep) {
  auto oneBefore = takeoverDelay(settings, view, ShardId{2});
  EXPECT_GT(oneBefore, Duration{0});
  EXPECT_EQ(takeoverDelay(settings, view, ShardId{1}), 2 * oneBefore);
}

TEST_F(TakeoverOrderTest, ControllersWithoutALeaseAddNoDelay) {
  view.controllers.erase(settings.controllers[2]);
  EXPECT_EQ(takeoverDelay(settings, view, ShardId{2}), Duration{0});
}

}  // namespace
}  // namespace cherryloft
