// The client of the state service with more requests than its rate limits allow.
#include "kvstore/key_value_store.h"

#include <gtest/gtest.h>

#include "world/world.h"

using namespace cherryloft;

namespace {

// The clock does not advance. Calls are counted and never answered; tasks without a delay are run by the
// test.
struct StoppedClockRuntime : Runtime {
  std::vector<std::function<void()>> scheduled;
  std::size_t calls = 0;
  Time now() const override { return Time{Duration{5000}}; }
  WallTime wall() const override { return {1}; }
  void after(Duration delay, std::function<void()> task) override {
    if (delay == Duration{0}) scheduled.push_back(std::move(task));
  }
  void call(const Address&, HttpRequest, Duration, HttpCallback) override { ++calls; }
  void mesh(std::uint32_t, const mesh::Frame&) override {}
  void resetPeerConnection(std::uint32_t) override {}
};

}  // namespace

TEST(KeyValueStore, FailsUserReadsBeyondItsRateLimitAtOnce) {
  world::Deployment deployment;
  deployment.rps = 101;
  auto settings = parseSettings(deployment.settingsJson(0), {});
  StoppedClockRuntime runtime;
  KeyValueStore store(settings, runtime, silentLog(), 1);
  int failed = 0;
  for (int read = 0; read < 1000; ++read)
    store.get(RequestPriority::User, "job/x", Duration{1000},
              [&](const GetResult& result) { failed += result.outcome == GetResult::Outcome::Failed; });
  for (auto& task : runtime.scheduled) task();
  // The controller's third of the service's requests per second is sent, and as many again are queued.
  EXPECT_EQ(runtime.calls, 30U);
  EXPECT_EQ(failed, 1000 - 30 - 31);
}
