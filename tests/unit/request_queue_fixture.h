// The queue of requests to the state service with all that it needs, for tests of the objects on top of it.
#pragma once

#include <gtest/gtest.h>

#include <random>

#include "kvstore/request_queue.h"
#include "unit/held_calls_runtime.h"
#include "world/world.h"

namespace cherryloft {

struct RequestQueueFixture : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  HeldCallsRuntime runtime;
  RateLimiter limiter{settings, runtime.now()};
  RequestTally tally;
  std::mt19937_64 rng{1};
  RequestQueue queue{settings, runtime, limiter, tally, rng};
};

}  // namespace cherryloft
