// The request queue of the state service with its dependencies, for tests of it and of the classes that use
// it.
#pragma once

#include <gtest/gtest.h>

#include <random>

#include "kvstore/request_queue.h"
#include "unit/pending_calls_runtime.h"
#include "world/world.h"

namespace cherryloft {

struct RequestQueueFixture : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  PendingCallsRuntime runtime;
  RateLimiter limiter{settings, runtime.now()};
  RequestCounters counters;
  std::mt19937_64 rng{1};
  RequestQueue queue{settings, runtime, limiter, counters, rng};
};

}  // namespace cherryloft
