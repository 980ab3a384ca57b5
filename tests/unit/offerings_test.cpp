// Tests of which offerings suit a task, and of the reasons that are logged for the others.
#include "policy/offerings.h"

#include <gtest/gtest.h>

namespace cherryloft::policy {
namespace {

const Catalog kCatalog{{"small", {8, 0, 16}, 30, 1, 0.48, 0.13, 30, {Zone{"a"}, Zone{"b"}}},
                       {"large", {32, 0, 128}, 20, 1, 2.18, 0.61, 20, {Zone{"a"}}},
                       {"gpu", {32, 4, 128}, 100, 1, 9, 4, 20, {Zone{"b"}}}};

std::string explain(const TaskRequirements& task, const InstanceOfferings& unavailable = {}) {
  return explainOfferings(kCatalog, task, unavailable);
}

}  // namespace

TEST(Offerings, ExplainsWhichResourceIsMissing) {
  EXPECT_EQ(explain({{12, 0, 12}, 0, {}, {}, false}), "small: too few cores, large: suitable, gpu: suitable");
  EXPECT_EQ(explain({{1, 0, 40}, 0, {}, {}, false}),
            "small: too little memory, large: suitable, gpu: suitable");
  EXPECT_EQ(explain({{1, 1, 4}, 0, {}, {}, false}),
            "small: too few gpus, large: too few gpus, gpu: suitable");
  EXPECT_EQ(explain({{1, 0, 4}, 25, {}, {}, false}),
            "small: suitable, large: cache too small, gpu: suitable");
}

TEST(Offerings, ExplainsTypesAndZonesThatAreNotAllowed) {
  EXPECT_EQ(explain({{1, 0, 4}, 0, {"small"}, {Zone{"b"}}, false}),
            "small: suitable, large: type not allowed, gpu: type not allowed");
  EXPECT_EQ(explain({{1, 0, 4}, 0, {}, {Zone{"b"}}, false}),
            "small: suitable, large: zone not allowed, gpu: suitable");
}

TEST(Offerings, AnOfferingThatTheCloudRefusedIsNotAvailable) {
  InstanceOfferings refused{{"large", Zone{"a"}, false}};
  EXPECT_EQ(explain({{20, 0, 20}, 0, {"large"}, {}, false}, refused),
            "small: type not allowed, large: not available, gpu: type not allowed");
  EXPECT_EQ(explain({{20, 0, 20}, 0, {"large"}, {}, true}, refused),
            "small: type not allowed, large: suitable, gpu: type not allowed");
}

}  // namespace cherryloft::policy
